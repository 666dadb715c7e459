package loadreport

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchRoom    = 200 // bytes that a datagram leaves for the digest
	benchReports = 488 // own reports between two datagrams, at 1,625 a second
)

// BenchmarkSharedState is what a gateway does between two datagrams of its own: it notes what its answers told, writes a
// datagram, and reads the one that another gateway has sent it.
func BenchmarkSharedState(b *testing.B) {
	for _, engines := range []int{10, 80, 300, 1100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			own, other := listed(engines), listed(engines)
			now := epoch
			b.ReportAllocs()
			for round := range b.N {
				now += Interval
				for k := range benchReports {
					own.Record(now, number((round+k)%engines), k%20)
				}
				other.Record(now-time.Second, number(round%engines), round%20)
				own.Receive(now, other.Append(now, 0, benchRoom, nil))
				own.Append(now, 0, benchRoom, nil)
			}
		})
	}
}
