package runner

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"frostpier/internal/testbed/scale"
	"frostpier/internal/testbed/testfleet"
)

const (
	sampleEvery    = time.Second
	ticksPerSecond = 100 // of /proc/PID/stat's times, on every Linux that Go runs on
	ownSockets     = 2   // of a real gateway: the clients' listener and the peers' socket
)

// sampler reads the real gateways once a second: processor time and resident memory from /proc, datagrams from the relay,
// and the discovery server's traffic.
type sampler struct {
	fleet    *testfleet.Fleet
	began    time.Time
	mu       sync.Mutex
	pids     []int     // of the last reading
	ticks    []float64 // of the process of the last reading
	spent    []float64 // seconds of processor time over all processes of a gateway so far
	readings []reading
	quit     chan struct{}
	done     sync.WaitGroup
}

// reading is totals of each real gateway at a time.
type reading struct {
	at        time.Duration
	processor []float64 // seconds
	resident  []float64 // bytes
	sent      []float64 // bytes of datagrams
	received  []float64 // likewise
	list      float64   // bytes that the discovery server sent to all watchers
	watchers  int
}

func startSampler(fleet *testfleet.Fleet, real int) *sampler {
	s := &sampler{fleet: fleet, began: time.Now(), pids: make([]int, real), ticks: make([]float64, real), spent: make([]float64, real),
		quit: make(chan struct{})}
	s.done.Add(1)
	go s.run()
	return s
}

func (s *sampler) run() {
	defer s.done.Done()
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.read()
		case <-s.quit:
			return
		}
	}
}

func (s *sampler) stop() {
	close(s.quit)
	s.done.Wait()
}

// read takes a reading now and returns its place.
func (s *sampler) read() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := reading{at: time.Since(s.began)}
	for i := range s.pids {
		pid := s.fleet.PID(i)
		s.addTicks(i, pid)
		_, sent := s.fleet.Relay.Sent(i)
		now.processor = append(now.processor, s.spent[i])
		now.resident = append(now.resident, residentBytes(pid))
		now.sent = append(now.sent, float64(sent))
		now.received = append(now.received, float64(s.fleet.Relay.DeliveredBytes(i)))
	}
	bytes, watchers := s.fleet.Discovery.Traffic()
	now.list, now.watchers = float64(bytes), watchers
	s.readings = append(s.readings, now)
	return len(s.readings) - 1
}

// addTicks adds what a gateway's process has spent since the last reading. What a process spent after the last reading of
// its life is not seen.
func (s *sampler) addTicks(i, pid int) {
	ticks := processorTicks(pid)
	if pid != s.pids[i] {
		s.pids[i], s.ticks[i] = pid, 0
	}
	if ticks > s.ticks[i] {
		s.spent[i] += (ticks - s.ticks[i]) / ticksPerSecond
		s.ticks[i] = ticks
	}
}

// processorTicks is the processor time of a process, user and system; 0 where there is none.
func processorTicks(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, fields, _ := strings.Cut(string(text), ") ") // the name before may hold spaces
	var user, system float64
	values := strings.Fields(fields)
	const userField, systemField = 11, 12
	if len(values) <= systemField {
		return 0
	}
	fmt.Sscan(values[userField], &user)
	fmt.Sscan(values[systemField], &system)
	return user + system
}

// residentBytes is the resident memory of a process; 0 where there is none.
func residentBytes(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var all, resident float64
	fmt.Sscan(string(text), &all, &resident)
	return resident * float64(os.Getpagesize())
}

// connections is how many TCP connections a gateway's process holds.
func connections(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	sockets := 0
	for _, entry := range entries {
		if target, err := os.Readlink(dir + "/" + entry.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return max(0, sockets-ownSockets)
}

// result works out what was read between two readings.
func (s *sampler) result(from, to int) (out scale.StepResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := s.readings[from : to+1]
	gateways := len(s.pids)
	out.Seconds = (span[len(span)-1].at - span[0].at).Seconds()
	for i := range gateways {
		share := float64(1) / float64(gateways)
		processor := scale.Rate(series(span, func(r reading) float64 { return r.processor[i] }))
		sent := series(span, func(r reading) float64 { return r.sent[i] })
		received := series(span, func(r reading) float64 { return r.received[i] })
		out.ProcessorShare += processor * share
		out.ProcessorShareHighest = max(out.ProcessorShareHighest, processor)
		out.MeanBytesPerSecond += scale.Rate(sent) * share
		out.HighestBytesPerSecond = max(out.HighestBytesPerSecond, scale.PeakRate(sent))
		out.ReceivedBytesPerSecond += scale.Rate(received) * share
		out.ReceivedHighest = max(out.ReceivedHighest, scale.PeakRate(received))
		out.Connections += float64(connections(s.pids[i])) * share
		for _, r := range span {
			out.ResidentMB = max(out.ResidentMB, r.resident[i]/(1<<20))
		}
	}
	watchers := max(1, span[len(span)-1].watchers)
	out.ListBytesPerSecond = scale.Rate(series(span, func(r reading) float64 { return r.list })) / float64(watchers)
	return out
}

func series(span []reading, of func(reading) float64) (out []scale.Sample) {
	for _, r := range span {
		out = append(out, scale.Sample{At: r.at, Total: of(r)})
	}
	return out
}
