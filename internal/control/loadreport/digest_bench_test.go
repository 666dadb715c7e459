package loadreport

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchBytes   = 200 // available for load reports in a datagram
	benchReports = 488 // reports that a gateway receives from engines per Interval, at 1,625 per second
)

// BenchmarkRecordReceiveAppend measures the work of a gateway per Interval: it records reports from engines, receives a
// message from another gateway and encodes one message.
func BenchmarkRecordReceiveAppend(b *testing.B) {
	for _, engines := range []int{10, 80, 300, 1100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			own, other := newDigest(engines), newDigest(engines)
			now := epoch
			b.ReportAllocs()
			for round := range b.N {
				now += Interval
				for k := range benchReports {
					own.Record(now, engineID((round+k)%engines), k%20)
				}
				other.Record(now-time.Second, engineID(round%engines), round%20)
				own.Receive(now, other.Append(now, 0, benchBytes, nil))
				own.Append(now, 0, benchBytes, nil)
			}
		})
	}
}
