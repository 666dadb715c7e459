package loadreport

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchRoom    = 200 // bytes of a datagram left for the digest
	benchReports = 488 // own reports between two datagrams, at 1,625 a second
)

// BenchmarkSharedState measures what a gateway does between two datagrams of its own: it records reports, receives the
// message of another gateway and appends one of its own.
func BenchmarkSharedState(b *testing.B) {
	for _, engines := range []int{10, 80, 300, 1100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			own, other := newDigest(engines), newDigest(engines)
			now := epoch
			b.ReportAllocs()
			for round := range b.N {
				now += Interval
				for k := range benchReports {
					own.Record(now, engineNumber((round+k)%engines), k%20)
				}
				other.Record(now-time.Second, engineNumber(round%engines), round%20)
				own.Receive(now, other.Append(now, 0, benchRoom, nil))
				own.Append(now, 0, benchRoom, nil)
			}
		})
	}
}
