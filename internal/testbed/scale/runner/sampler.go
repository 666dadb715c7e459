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
	ticksPerSecond = 100 // unit of the times in /proc/PID/stat on every Linux that Go supports
	otherSockets   = 2   // sockets of a real gateway that are not connections: the TCP listener and the UDP socket
)

// sampler takes a reading of the real gateways once a second: processor time and resident memory from /proc, datagram bytes
// from the relay, and the traffic of the discovery server.
type sampler struct {
	fleet      *testfleet.Fleet
	start      time.Time
	mu         sync.Mutex
	pids       []int     // process ID of each gateway at the last reading
	ticks      []float64 // processor time of each of these processes at the last reading, in clock ticks
	cpuSeconds []float64 // processor time of each gateway, over all processes that it has had
	readings   []reading
	closing    chan struct{}
	goroutines sync.WaitGroup
}

// reading holds the counters of the real gateways at a point in time. Slices are by gateway index.
type reading struct {
	at             time.Duration
	cpuSeconds     []float64
	resident       []float64 // resident memory, in bytes
	sent           []float64 // datagram bytes
	received       []float64 // datagram bytes
	discoveryBytes float64   // total sent to all watches
	watchers       int
}

// startSampler starts to take readings of the real gateways of a fleet. stop ends it.
func startSampler(fleet *testfleet.Fleet, gateways int) *sampler {
	s := &sampler{
		fleet:      fleet,
		start:      time.Now(),
		pids:       make([]int, gateways),
		ticks:      make([]float64, gateways),
		cpuSeconds: make([]float64, gateways),
		closing:    make(chan struct{}),
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
		now.cpuSeconds = append(now.cpuSeconds, s.cpuSeconds[i])
		now.resident = append(now.resident, residentBytes(pid))
		now.sent = append(now.sent, float64(sent))
		now.received = append(now.received, float64(s.fleet.Relay.DeliveredBytes(i)))
	}
	bytes, watchers := s.fleet.Discovery.Traffic()
	now.discoveryBytes, now.watchers = float64(bytes), watchers
	s.readings = append(s.readings, now)
	return len(s.readings) - 1
}

// addTicks adds the processor time of a gateway since the last reading. Time that a process uses between its last reading and
// its exit is not counted.
func (s *sampler) addTicks(i, pid int) {
	ticks := cpuTicks(pid)
	if pid != s.pids[i] {
		s.pids[i], s.ticks[i] = pid, 0
	}
	if ticks > s.ticks[i] {
		s.cpuSeconds[i] += (ticks - s.ticks[i]) / ticksPerSecond
		s.ticks[i] = ticks
	}
}

// cpuTicks returns the user and system time of a process in clock ticks, or 0 if there is no such process.
func cpuTicks(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, fields, _ := strings.Cut(string(text), ") ") // skips the process name, which may contain spaces
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

// residentBytes returns the resident memory of a process, or 0 if there is no such process.
func residentBytes(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var total, resident float64
	_, _ = fmt.Sscan(string(text), &total, &resident)
	return resident * float64(os.Getpagesize())
}

// tcpConnections returns the number of open TCP connections of a real gateway's process.
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
	return max(0, sockets-otherSockets)
}

// summarize returns the rates and maxima over the readings from index first to last.
func (s *sampler) summarize(first, last int) (out scale.StepResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := s.readings[first : last+1]
	gateways := len(s.pids)
	out.Seconds = (span[len(span)-1].at - span[0].at).Seconds()
	for i := range gateways {
		share := float64(1) / float64(gateways)
		cores := scale.Rate(samplesOf(span, func(r reading) float64 { return r.cpuSeconds[i] }))
		sent := samplesOf(span, func(r reading) float64 { return r.sent[i] })
		received := samplesOf(span, func(r reading) float64 { return r.received[i] })
		out.MeanCPUCores += cores * share
		out.MaxCPUCores = max(out.MaxCPUCores, cores)
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

// samplesOf returns the samples of one counter from a sequence of readings.
func samplesOf(span []reading, counter func(reading) float64) (out []scale.Sample) {
	for _, r := range span {
		out = append(out, scale.Sample{At: r.at, Value: counter(r)})
	}
	return out
}
