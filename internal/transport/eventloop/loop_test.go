package eventloop

import (
	"testing"
	"time"
)

func TestLoopMeasuresItsLag(t *testing.T) {
	loop := startLoop(t)
	loop.Do(loop.WatchLag)
	loop.Do(func() { time.Sleep(lagEvery + 100*time.Millisecond) }) // holds the next look up by 100 ms at least
	loop.Do(func() {})                                              // what was due meanwhile may be behind this
	for lag := time.Duration(0); lag < 50*time.Millisecond; time.Sleep(time.Millisecond) {
		loop.Do(func() { lag = loop.Lag() })
	}
}
