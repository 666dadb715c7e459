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

	"frostpier/internal/control/membership"
	"frostpier/internal/control/rollout"
	"frostpier/internal/control/subset/driver"
	"frostpier/internal/core"
	"frostpier/internal/settings"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

// HashFile is how a program or an operator's file shows in reports: the first bytes of its SHA-256; 0 for no file.
func HashFile(path string) (uint64, error) {
	if path == "" {
		return 0, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	h := sha256.New()
	if _, err := io.Copy(h, file); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(h.Sum(nil)), nil
}

// version reports this gateway's own version and health during a staged rollout.
type version struct {
	id       rollout.ID
	pending  bool
	started  time.Duration
	number   int
	fleet    string
	serving  bool
	core     *core.Core
	log      *slog.Logger
	mix      *rollout.Mix
	reporter *datagram.Reporter
	buf      []byte
}

// newVersion prepares the reports; nothing is sent yet.
func newVersion(op settings.Operator, host settings.Host, conf settings.Config, loop *eventloop.Loop, log *slog.Logger, heart *core.Core) (*version, error) {
	v := &version{started: loop.Now(), number: host.Module.Number, core: heart, log: log}
	if op.Membership != nil {
		v.fleet = op.Membership.Fleet
	}
	var err error
	if v.id.Program, err = HashFile("/proc/self/exe"); err != nil {
		return nil, fmt.Errorf("own program: %w", err)
	}
	if v.id.Settings, err = HashFile(os.Getenv("FROSTPIER_OPERATOR")); err != nil {
		return nil, fmt.Errorf("FROSTPIER_OPERATOR: %w", err)
	}
	v.mix = rollout.NewMix(max(1, host.Module.Gateways), v.id)
	v.reporter, err = datagram.NewReporter(loop, op.Rollout.ReportTo, op.Rollout.ReportInterval(), v.compose)
	return v, err
}

func (v *version) compose() []byte {
	r := rollout.Report{Gateway: v.number, PID: os.Getpid(), Started: v.started, Program: v.id.Program, Settings: v.id.Settings,
		Serving: v.serving, Pending: v.pending, MemoryMB: resident()}
	for _, c := range v.core.ByClass() {
		r.Classes = append(r.Classes, rollout.Counts(c))
	}
	var err error
	if v.buf, err = r.Append(v.buf[:0], v.fleet); err != nil {
		v.log.Error("report not written", "error", err)
		return nil
	}
	return v.buf
}

// serve says whether the gateway takes requests, at once.
func (v *version) serve(on bool) {
	v.serving = on
	v.reporter.Send()
}

// resident is the memory in MB that the system holds for this process; 0 where it does not tell.
func resident() float64 {
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

// peers dispatches the messages of other gateways.
type peers struct {
	*dispatcher.Dispatcher
	mix    *rollout.Mix   // nil where versions are not reported
	subset *driver.Driver // whose table of zones is kept
}

// ReceiveVersion records the version that another gateway runs.
func (p peers) ReceiveVersion(member int, body []byte) {
	if p.mix != nil {
		p.mix.Receive(member, body)
	}
}

// logMix logs which versions are in service.
func (p *program) logMix() {
	if p.version == nil || p.members == nil {
		return
	}
	counts := p.version.mix.Counts(p.version.number, p.members.Serves)
	p.log.Info("versions", "own", fmt.Sprintf("%016x/%016x", p.version.id.Program, p.version.id.Settings), "in_service", rollout.FormatCounts(counts),
		"reports_unsent", p.version.reporter.Unsent())
}

// reloadOperator reads the operator's file again. What may change while the program runs does; if anything else has
// changed, nothing does until the next start, so that the settings in force are always those of one file.
func (p *program) reloadOperator() {
	next, err := readOperator()
	if err != nil {
		p.log.Error("operator's file not read again, the old one stays", "error", err)
		return
	}
	id, err := HashFile(os.Getenv("FROSTPIER_OPERATOR"))
	if err != nil {
		p.log.Error("operator's file not read again, the old one stays", "error", err)
		return
	}
	config, err := subsetConfig(next.Subset, p.host.Zones)
	if err != nil {
		p.log.Error("operator's file not read again, the old one stays", "error", err)
		return
	}
	p.loop.Do(func() {
		live := p.operator.CanApplyLive(next)
		if p.version != nil {
			if p.version.pending = !live; live {
				p.version.id.Settings = id
				p.version.mix.Own(p.version.id)
			}
			defer p.version.reporter.Send()
		}
		if !live {
			p.log.Warn("operator's file read again: it holds from the next start")
			return
		}
		if p.members != nil && next.Membership != nil {
			_, timeout, suspect := next.Membership.Times()
			if err := p.members.Adjust(timeout, suspect); err != nil {
				p.log.Error("membership keeps its times", "error", err)
			}
		}
		if p.digest != nil {
			p.digest.Disable(next.Spread == nil)
		}
		if p.subset != nil {
			p.subset.Configure(config)
		}
		p.operator = next
		p.log.Info("operator's file read again")
	})
}

// extensions returns the subsystems that piggyback messages on membership datagrams. Load reports come last: with some
// dozens of engines they fill what room there is.
func (p *program) extensions() (out []membership.Extension) {
	if p.subset != nil {
		out = append(out, p.subset.Extension())
	}
	if p.version != nil {
		out = append(out, p.version.mix)
	}
	if p.digest != nil {
		out = append(out, p.digest)
	}
	return out
}
