package program

import (
	"bytes"
	"context"
	"os"

	"frostpier/internal/control/subset"
	"frostpier/internal/settings"
)

// reloadUntil reloads the configuration and the operator's file with each signal on hup, until ctx is cancelled.
func (p *program) reloadUntil(ctx context.Context, hup <-chan os.Signal, conf settings.Config) {
	for {
		select {
		case <-hup:
			p.reloadConfig(conf)
			p.reloadOperator()
		case <-ctx.Done():
			return
		}
	}
}

// reloadConfig follows the discovery server of the configuration file as it is now, from the last known event on.
// Everything else in the file takes effect at the next start. An invalid file changes nothing. old is the configuration
// of the start.
func (p *program) reloadConfig(old settings.Config) {
	conf, err := readConfig()
	if err == nil && conf.Discovery == "" && old.Discovery != "" {
		err = &settings.KeyError{Source: settings.SourceConfiguration, Key: "bulletin", Reason: "missing: no discovery server"}
	}
	if err != nil {
		p.log.Error("configuration reload failed, keeping the old one", "error", err)
		return
	}
	if needsRestart(old, conf) {
		p.log.Warn("configuration reloaded: listen, limits and settings hold from the next start")
	}
	events := 0
	p.loop.Do(func() { events = p.followDiscovery(conf) })
	p.log.Info("configuration reloaded", "discovery", conf.Discovery, "events", events)
}

// followDiscovery applies the engine events of a reloaded configuration that are new, follows its discovery server, and
// returns how many events those were. It runs on the event loop.
func (p *program) followDiscovery(conf settings.Config) (events int) {
	known, err := p.engineEvents.Restore(conf.Known)
	if err != nil {
		p.log.Warn("initial engine events not all used", "error", err)
	}
	for _, e := range known {
		p.dispatcher.UpdateEngines(e.Full, e.Engines)
	}
	p.discovery.SetServer(conf.Discovery)
	return len(known)
}

// needsRestart reports whether two configurations differ in what takes effect only at a start.
func needsRestart(old, conf settings.Config) bool {
	listenChanged := conf.Listen != old.Listen && os.Getenv(envListen) == ""
	return listenChanged || conf.Limits != old.Limits || !bytes.Equal(conf.Settings, old.Settings)
}

// operatorFile is an operator's file as it was read.
type operatorFile struct {
	settings settings.Operator
	hash     uint64
	subset   *subset.Config // nil = every engine is used
}

// readOperatorFile reads the operator's file for a reload.
func (p *program) readOperatorFile() (f operatorFile, err error) {
	if f.settings, err = readOperator(); err != nil {
		return f, err
	}
	if f.hash, err = HashFile(os.Getenv(envOperator)); err != nil {
		return f, err
	}
	f.subset, err = subsetConfig(f.settings.Subset, p.host.Zones)
	return f, err
}

// reloadOperator applies the operator's file as it is now. If some change in it cannot be applied while the program runs,
// none is before the next start, so that the settings in force are always those of one file.
func (p *program) reloadOperator() {
	file, err := p.readOperatorFile()
	if err != nil {
		p.log.Error("operator's file reload failed, keeping the old one", "error", err)
		return
	}
	p.loop.Do(func() { p.applyOperator(file) })
}

// applyOperator applies a reloaded operator's file. It runs on the event loop.
func (p *program) applyOperator(file operatorFile) {
	live := p.operator.CanApplyLive(file.settings)
	if p.version != nil {
		p.version.setReloaded(file.hash, live)
		defer p.version.sender.Send()
	}
	if !live {
		p.log.Warn("operator's file reloaded: it holds from the next start")
		return
	}
	if p.membership != nil && file.settings.Membership != nil {
		_, timeout, suspect := file.settings.Membership.Times()
		if err := p.membership.SetTimeouts(timeout, suspect); err != nil {
			p.log.Error("membership times not changed", "error", err)
		}
	}
	if p.loadReports != nil {
		p.loadReports.Disable(file.settings.Spread == nil)
	}
	if p.subset != nil {
		p.subset.Configure(file.subset)
	}
	p.operator = file.settings
	p.log.Info("operator's file reloaded")
}
