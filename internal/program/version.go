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

// ownExecutable is the path of this process's executable.
const ownExecutable = "/proc/self/exe"

// HashFile returns the hash that identifies an executable or an operator's file in version reports: the first 8 bytes of its
// SHA-256. It returns 0 for an empty path.
func HashFile(path string) (uint64, error) {
	if path == "" {
		return 0, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // an error does not matter after reading
	h := sha256.New()
	if _, err := io.Copy(h, file); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(h.Sum(nil)), nil
}

// versionReporter reports this gateway's version and health to the controller of a rollout. After its creation it is only used
// on the event loop.
type versionReporter struct {
	ownVersion     rollout.VersionID
	versions       *rollout.VersionTracker // versions that the gateways of the fleet run
	restartPending bool                    // the operator's file has changes that take effect at the next start
	started        time.Duration
	gatewayIndex   int    // index of this gateway
	fleet          string // empty without membership
	serving        bool
	core           *core.Core
	log            *slog.Logger
	sender         *datagram.Reporter
	buffer         []byte // reused for each report
}

// newVersionReporter returns a versionReporter, which sends nothing before the event loop runs.
func newVersionReporter(s setup, loop *eventloop.Loop, log *slog.Logger, c *core.Core) (*versionReporter, error) {
	v := &versionReporter{started: loop.Now(), gatewayIndex: s.host.Policy.GatewayIndex, core: c, log: log}
	if s.operator.Membership != nil {
		v.fleet = s.operator.Membership.Fleet
	}
	var err error
	if v.ownVersion.Program, err = HashFile(ownExecutable); err != nil {
		return nil, fmt.Errorf("hash own executable: %w", err)
	}
	if v.ownVersion.Settings, err = HashFile(os.Getenv(envOperator)); err != nil {
		return nil, fmt.Errorf("%s: %w", envOperator, err)
	}
	v.versions = rollout.NewVersionTracker(max(1, s.host.Policy.Gateways), v.ownVersion)
	section := s.operator.Rollout
	v.sender, err = datagram.NewReporter(loop, section.ReportTo, section.ReportInterval(), v.encodeReport)
	return v, err
}

// encodeReport returns the encoded current report, or nil if encoding fails.
func (v *versionReporter) encodeReport() []byte {
	report := rollout.Report{
		Gateway: v.gatewayIndex, PID: os.Getpid(), StartedAt: v.started, Program: v.ownVersion.Program, Settings: v.ownVersion.Settings,
		Serving: v.serving, RestartPending: v.restartPending, MemoryMB: residentMemoryMB(),
	}
	for _, counts := range v.core.CountsByClass() {
		report.Classes = append(report.Classes, rollout.Counts(counts))
	}
	var err error
	if v.buffer, err = report.Append(v.buffer[:0], v.fleet); err != nil {
		v.log.Error("report not sent: encoding failed", "error", err)
		return nil
	}
	return v.buffer
}

// setServing sets whether the gateway serves, and sends a report at once.
func (v *versionReporter) setServing(serving bool) {
	v.serving = serving
	v.sender.Send()
}

// setReloaded records a reload of the operator's file. If the file was applied, its hash becomes part of the own version;
// otherwise a restart is pending.
func (v *versionReporter) setReloaded(hash uint64, applied bool) {
	v.restartPending = !applied
	if applied {
		v.ownVersion.Settings = hash
		v.versions.SetLocal(v.ownVersion)
	}
}

// residentMemoryMB returns the resident memory of this process in MB, or 0 if it is unknown.
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
