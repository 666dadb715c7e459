package program

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/core"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/eventloop"
)

// ownExecutable is the path of the program that this process runs.
const ownExecutable = "/proc/self/exe"

// HashFile returns the hash by which reports identify a program or an operator's file: the first 8 bytes of its SHA-256.
// It returns 0 for an empty path.
func HashFile(path string) (uint64, error) {
	if path == "" {
		return 0, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // it was only read
	h := sha256.New()
	if _, err := io.Copy(h, file); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(h.Sum(nil)), nil
}

// versionReporter reports this gateway's version and health to the controller of a rollout. After its creation it is used
// on the event loop only.
type versionReporter struct {
	own            rollout.VersionID
	versions       *rollout.VersionTracker // of all gateways
	restartPending bool                    // the operator's file has changes that take effect at the next start
	started        time.Duration
	number         int    // of this gateway
	fleet          string // empty without membership
	serving        bool
	core           *core.Core
	log            *slog.Logger
	sender         *datagram.Reporter
	buffer         []byte // reused for each report
}

// newVersionReporter returns a reporter. Nothing is sent before the event loop runs.
func newVersionReporter(s setup, loop *eventloop.Loop, log *slog.Logger, c *core.Core) (*versionReporter, error) {
	v := &versionReporter{started: loop.Now(), number: s.host.Module.GatewayIndex, core: c, log: log}
	if s.operator.Membership != nil {
		v.fleet = s.operator.Membership.Fleet
	}
	var err error
	if v.own.Program, err = HashFile(ownExecutable); err != nil {
		return nil, fmt.Errorf("own program: %w", err)
	}
	if v.own.Settings, err = HashFile(os.Getenv(envOperator)); err != nil {
		return nil, fmt.Errorf("%s: %w", envOperator, err)
	}
	v.versions = rollout.NewVersionTracker(max(1, s.host.Module.Gateways), v.own)
	section := s.operator.Rollout
	v.sender, err = datagram.NewReporter(loop, section.ReportTo, section.ReportInterval(), v.encodeReport)
	return v, err
}

// encodeReport returns the current report; nil if it cannot be encoded.
func (v *versionReporter) encodeReport() []byte {
	report := rollout.Report{
		Gateway: v.number, PID: os.Getpid(), StartedAt: v.started, Program: v.own.Program, Settings: v.own.Settings,
		Serving: v.serving, RestartPending: v.restartPending, MemoryMB: residentMemoryMB(),
	}
	for _, counts := range v.core.CountsByClass() {
		report.Classes = append(report.Classes, rollout.Counts(counts))
	}
	var err error
	if v.buffer, err = report.Append(v.buffer[:0], v.fleet); err != nil {
		v.log.Error("report not written", "error", err)
		return nil
	}
	return v.buffer
}

// setServing sets whether the gateway serves, and reports it at once.
func (v *versionReporter) setServing(serving bool) {
	v.serving = serving
	v.sender.Send()
}

// setReloaded records the operator's file after a reload: the version has changed if the file was applied.
func (v *versionReporter) setReloaded(hash uint64, applied bool) {
	v.restartPending = !applied
	if applied {
		v.own.Settings = hash
		v.versions.SetOwn(v.own)
	}
}

// residentMemoryMB returns the resident memory of this process in MB; 0 if it is unknown.
func residentMemoryMB() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
