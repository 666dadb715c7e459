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
	sampleInterval = time.Second
	ticksPerSecond = 100 // of /proc/PID/stat's times, on every Linux that Go runs on
	fixedSockets   = 2   // of a real gateway: the clients' listener and the peers' socket
)

// sampler samples the real gateways once a second: processor time and resident memory from /proc, datagrams from the relay,
// and the traffic of the discovery server.
type sampler struct {
	fleet            *testfleet.Fleet
	start            time.Time
	mu               sync.Mutex
	pids             []int     // at the last reading
	ticks            []float64 // processor time of that process, at the last reading
	processorSeconds []float64 // of each gateway, over all of its processes
	readings         []reading
	closing          chan struct{}
	goroutines       sync.WaitGroup
}

// reading holds the counters of each real gateway at one time.
type reading struct {
	at             time.Duration
	processor      []float64 // seconds
	resident       []float64 // bytes
	sent           []float64 // bytes of datagrams
	received       []float64 // likewise
	discoveryBytes float64   // sent to all watches, in bytes
	watchers       int
}

// startSampler starts to sample the gateways of a fleet; stop ends it.
func startSampler(fleet *testfleet.Fleet, gateways int) *sampler {
	s := &sampler{
		fleet:            fleet,
		start:            time.Now(),
		pids:             make([]int, gateways),
		ticks:            make([]float64, gateways),
		processorSeconds: make([]float64, gateways),
		closing:          make(chan struct{}),
	}
	s.goroutines.Add(1)
	go s.run()
	return s
}

func (s *sampler) run() {
	defer s.goroutines.Done()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.sample()
		case <-s.closing:
			return
		}
	}
}

func (s *sampler) stop() {
	close(s.closing)
	s.goroutines.Wait()
}

// sample takes a reading now and returns its index.
func (s *sampler) sample() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := reading{at: time.Since(s.start)}
	for i := range s.pids {
		pid := s.fleet.PID(i)
		s.addTicks(i, pid)
		_, sent := s.fleet.Relay.Sent(i)
		now.processor = append(now.processor, s.processorSeconds[i])
		now.resident = append(now.resident, residentBytes(pid))
		now.sent = append(now.sent, float64(sent))
		now.received = append(now.received, float64(s.fleet.Relay.DeliveredBytes(i)))
	}
	bytes, watchers := s.fleet.Discovery.Traffic()
	now.discoveryBytes, now.watchers = float64(bytes), watchers
	s.readings = append(s.readings, now)
	return len(s.readings) - 1
}

// addTicks adds the processor time of a gateway since the last reading. What a process spends between its last reading and
// its end is not counted.
func (s *sampler) addTicks(i, pid int) {
	ticks := processorTicks(pid)
	if pid != s.pids[i] {
		s.pids[i], s.ticks[i] = pid, 0
	}
	if ticks > s.ticks[i] {
		s.processorSeconds[i] += (ticks - s.ticks[i]) / ticksPerSecond
		s.ticks[i] = ticks
	}
}

// processorTicks returns the processor time of a process in clock ticks, user and system; 0 where there is no process.
func processorTicks(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, fields, _ := strings.Cut(string(text), ") ") // the name of the process, which comes before, may have spaces
	var user, system float64
	values := strings.Fields(fields)
	const userField, systemField = 11, 12
	if len(values) <= systemField {
		return 0
	}
	_, _ = fmt.Sscan(values[userField], &user)
	_, _ = fmt.Sscan(values[systemField], &system)
	return user + system
}

// residentBytes returns the resident memory of a process; 0 where there is no process.
func residentBytes(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var all, resident float64
	_, _ = fmt.Sscan(string(text), &all, &resident)
	return resident * float64(os.Getpagesize())
}

// tcpConnections returns how many TCP connections a gateway's process has open.
func tcpConnections(pid int) int {
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
	return max(0, sockets-fixedSockets)
}

// summarize returns what two readings and those between them come to.
func (s *sampler) summarize(from, to int) (out scale.StepResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := s.readings[from : to+1]
	gateways := len(s.pids)
	out.Seconds = (span[len(span)-1].at - span[0].at).Seconds()
	for i := range gateways {
		share := float64(1) / float64(gateways)
		processor := scale.Rate(samplesOf(span, func(r reading) float64 { return r.processor[i] }))
		sent := samplesOf(span, func(r reading) float64 { return r.sent[i] })
		received := samplesOf(span, func(r reading) float64 { return r.received[i] })
		out.MeanCPUCores += processor * share
		out.MaxCPUCores = max(out.MaxCPUCores, processor)
		out.SentBytesPerSecond += scale.Rate(sent) * share
		out.PeakSentBytesPerSecond = max(out.PeakSentBytesPerSecond, scale.PeakRate(sent))
		out.ReceivedBytesPerSecond += scale.Rate(received) * share
		out.PeakReceivedBytesPerSecond = max(out.PeakReceivedBytesPerSecond, scale.PeakRate(received))
		out.Connections += float64(tcpConnections(s.pids[i])) * share
		for _, r := range span {
			out.ResidentMB = max(out.ResidentMB, r.resident[i]/(1<<20))
		}
	}
	watchers := max(1, span[len(span)-1].watchers)
	out.EngineListBytesPerSecond = scale.Rate(samplesOf(span, func(r reading) float64 { return r.discoveryBytes })) / float64(watchers)
	return out
}

// samplesOf returns the samples of one counter.
func samplesOf(span []reading, counter func(reading) float64) (out []scale.Sample) {
	for _, r := range span {
		out = append(out, scale.Sample{At: r.at, Value: counter(r)})
	}
	return out
}
