package rollout

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/rollout/rolloutpb"
)

// MaxReportBytes is the maximum length of an encoded report. It lets a socket's receive buffer hold reports of hundreds of gateways.
const MaxReportBytes = 1400

// Upper bounds of the values in a report. A report that exceeds one is invalid.
const (
	maxReportClasses = 64
	maxReportPID     = 1 << 30
	maxStartedMS     = 1 << 43
	maxMemoryKB      = 1 << 40
)

const kilobytesPerMB = 1024

var (
	// ErrInvalidReport means that a report cannot be decoded, or is too long to be sent.
	ErrInvalidReport = errors.New("invalid rollout report")

	// ErrOtherFleet means that a report comes from a gateway of another fleet. It wraps ErrInvalidReport.
	ErrOtherFleet = fmt.Errorf("%w: from a gateway of another fleet", ErrInvalidReport)
)

// Append appends the encoded report to dst. It fails with ErrInvalidReport if the encoding is longer than MaxReportBytes.
func (r Report) Append(dst []byte, fleet string) ([]byte, error) {
	message := &rolloutpb.Report{
		Fleet:     fleet,
		Gateway:   uint32(r.Gateway),
		Pid:       uint32(r.PID),
		StartedMs: uint64(r.StartedAt / time.Millisecond),
		Program:   r.Program,
		Settings:  r.Settings,
		Serving:   r.Serving,
		Pending:   r.RestartPending,
		MemoryKb:  uint32(r.MemoryMB * kilobytesPerMB),
	}
	for _, c := range r.Classes {
		message.Classes = append(message.Classes, encodeCounts(c))
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, message)
	if err != nil {
		return dst, fmt.Errorf("%w: %w", ErrInvalidReport, err)
	}
	if length := len(out) - len(dst); length > MaxReportBytes {
		return dst, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrInvalidReport, length, MaxReportBytes)
	}
	return out, nil
}

// ParseReport decodes the report of a gateway in a fleet with the given numbers of gateways and classes. Unknown fields of newer
// programs are skipped. It fails with ErrOtherFleet for a gateway of another fleet, and with ErrInvalidReport for any other reason.
func ParseReport(b []byte, fleet string, gateways, classes int) (Report, error) {
	if len(b) > MaxReportBytes {
		return Report{}, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrInvalidReport, len(b), MaxReportBytes)
	}
	var message rolloutpb.Report
	if err := proto.Unmarshal(b, &message); err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrInvalidReport, err)
	}
	if message.Fleet != fleet {
		return Report{}, ErrOtherFleet
	}
	if !validReport(&message, gateways, classes) {
		return Report{}, fmt.Errorf("%w: value out of range: gateway %d, pid %d, %d classes",
			ErrInvalidReport, message.Gateway, message.Pid, len(message.Classes))
	}
	r := Report{
		Gateway:        int(message.Gateway),
		PID:            int(message.Pid),
		StartedAt:      time.Duration(message.StartedMs) * time.Millisecond,
		Program:        message.Program,
		Settings:       message.Settings,
		Serving:        message.Serving,
		RestartPending: message.Pending,
		MemoryMB:       float64(message.MemoryKb) / kilobytesPerMB,
	}
	for _, c := range message.Classes {
		r.Classes = append(r.Classes, decodeCounts(c))
	}
	return r, nil
}

// validReport reports whether a message has a gateway number below gateways, exactly the given number of classes, and values
// within bounds.
func validReport(message *rolloutpb.Report, gateways, classes int) bool {
	switch {
	case int(message.Gateway) >= gateways:
		return false
	case message.Pid == 0 || message.Pid > maxReportPID:
		return false
	case len(message.Classes) != classes || classes > maxReportClasses:
		return false
	case message.StartedMs > maxStartedMS || uint64(message.MemoryKb) > maxMemoryKB:
		return false
	}
	return true
}

func encodeCounts(c Counts) *rolloutpb.Class {
	return &rolloutpb.Class{
		Taken:   c.Requests,
		InTime:  c.InTime,
		Late:    c.Late,
		Refused: c.Rejected,
		Failed:  c.Failed,
		Fast:    c.Fast,
		Further: c.Retries,
	}
}

func decodeCounts(c *rolloutpb.Class) Counts {
	return Counts{
		Requests: c.GetTaken(),
		InTime:   c.GetInTime(),
		Late:     c.GetLate(),
		Rejected: c.GetRefused(),
		Failed:   c.GetFailed(),
		Fast:     c.GetFast(),
		Retries:  c.GetFurther(),
	}
}
