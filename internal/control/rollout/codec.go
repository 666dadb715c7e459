package rollout

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/rollout/rolloutpb"
)

// MostReport is the longest report in bytes: with it a fleet of hundreds fits any socket's buffer.
const MostReport = 1400

const (
	mostClasses = 64
	mostMemory  = 1 << 40 // kB: beyond, a report is absurd
)

var (
	errReport = errors.New("report")
	errFleet  = fmt.Errorf("%w: of another fleet", errReport)
)

// Append writes a report.
func (r Report) Append(dst []byte, fleet string) ([]byte, error) {
	m := &rolloutpb.Report{Fleet: fleet, Gateway: uint32(r.Gateway), Pid: uint32(r.PID), StartedMs: uint64(r.Started / time.Millisecond),
		Program: r.Program, Settings: r.Settings, Serving: r.Serving, Pending: r.Pending, MemoryKb: uint32(r.MemoryMB * 1024)}
	for _, c := range r.Classes {
		m.Classes = append(m.Classes, &rolloutpb.Class{Taken: c.Taken, InTime: c.InTime, Late: c.Late, Refused: c.Refused, Failed: c.Failed,
			Fast: c.Fast, Further: c.Further})
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err != nil {
		return dst, fmt.Errorf("%w: %w", errReport, err)
	}
	if len(out)-len(dst) > MostReport {
		return dst, fmt.Errorf("%w: %d bytes", errReport, len(out)-len(dst))
	}
	return out, nil
}

// ParseReport reads one that a gateway of the fleet wrote; what a newer program adds is skipped.
func ParseReport(b []byte, fleet string, gateways, classes int) (Report, error) {
	var m rolloutpb.Report
	if len(b) > MostReport {
		return Report{}, fmt.Errorf("%w: %d bytes", errReport, len(b))
	}
	if err := proto.Unmarshal(b, &m); err != nil {
		return Report{}, fmt.Errorf("%w: %w", errReport, err)
	}
	switch {
	case m.Fleet != fleet:
		return Report{}, errFleet
	case int(m.Gateway) >= gateways || m.Pid == 0 || m.Pid > 1<<30 || len(m.Classes) != classes || classes > mostClasses ||
		m.StartedMs > 1<<43 || uint64(m.MemoryKb) > mostMemory:
		return Report{}, fmt.Errorf("%w: gateway %d, process %d, %d classes", errReport, m.Gateway, m.Pid, len(m.Classes))
	}
	r := Report{Gateway: int(m.Gateway), PID: int(m.Pid), Started: time.Duration(m.StartedMs) * time.Millisecond, Program: m.Program,
		Settings: m.Settings, Serving: m.Serving, Pending: m.Pending, MemoryMB: float64(m.MemoryKb) / 1024}
	for _, c := range m.Classes {
		r.Classes = append(r.Classes, Counts{c.GetTaken(), c.GetInTime(), c.GetLate(), c.GetRefused(), c.GetFailed(), c.GetFast(), c.GetFurther()})
	}
	return r, nil
}
