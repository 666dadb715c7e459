package program

import (
	"bytes"
	"context"
	"os"

	"frostpier/internal/control/subset"
	"frostpier/internal/settings"
)

// reloadUntil reloads the configuration and the operator's file on each signal on hup, until ctx is cancelled.
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

// reloadConfig reloads the configuration file. It switches to the discovery server in the file, and continues after the last
// known event. Other changes take effect at the next start. An invalid file changes nothing. old is the configuration that
// the gateway was started with.
func (p *program) reloadConfig(old settings.Config) {
	conf, err := readConfig()
	if err == nil && conf.DiscoveryAddr == "" && old.DiscoveryAddr != "" {
		err = &settings.KeyError{Source: settings.SourceConfiguration, Key: "bulletin", Reason: "missing: no discovery server"}
	}
	if err != nil {
		p.log.Error("configuration reload failed, keeping the old one", "error", err)
		return
	}
	if needsRestart(old, conf) {
		p.log.Warn("configuration reloaded: changes of listen, limits and settings take effect after a restart")
	}
	events := 0
	p.loop.Do(func() { events = p.followDiscovery(conf) })
	p.log.Info("configuration reloaded", "discovery", conf.DiscoveryAddr, "events", events)
}

// followDiscovery applies the new engine events of a reloaded configuration and switches to its discovery server. It returns
// the number of new events. It runs on the event loop.
func (p *program) followDiscovery(conf settings.Config) (events int) {
	known, err := p.engineEvents.Restore(conf.InitialEngineEvents)
	if err != nil {
		p.log.Warn("invalid engine event in the configuration, relying on the discovery server", "error", err)
	}
	for _, e := range known {
		p.dispatcher.UpdateEngines(e.Full, e.Engines)
	}
	p.discovery.SetServer(conf.DiscoveryAddr)
	return len(known)
}

// needsRestart reports whether two configurations differ in a key that only takes effect at a start.
func needsRestart(old, conf settings.Config) bool {
	listenChanged := conf.Listen != old.Listen && os.Getenv(envListen) == ""
	return listenChanged || conf.Limits != old.Limits || !bytes.Equal(conf.Settings, old.Settings)
}

// operatorFile is the parsed content of an operator's file.
type operatorFile struct {
	settings settings.Operator
	hash     uint64
	subset   *subset.Config // nil = all engines are used
}

// readOperatorFile reads and checks the operator's file for a reload.
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

// reloadOperator reloads the operator's file. If any of its changes needs a restart, no change is applied before the restart,
// so that the applied settings are always those of a single version of the file.
func (p *program) reloadOperator() {
	file, err := p.readOperatorFile()
	if err != nil {
		p.log.Error("operator's file reload failed, keeping the old one", "error", err)
		return
	}
	p.loop.Do(func() { p.applyOperator(file) })
}

// applyOperator applies a reloaded operator's file, or none of it if a change needs a restart. It runs on the event loop.
func (p *program) applyOperator(file operatorFile) {
	live := p.operator.CanApplyLive(file.settings)
	if p.reporter != nil {
		p.reporter.setReloaded(file.hash, live)
		defer p.reporter.sender.Send()
	}
	if !live {
		p.log.Warn("operator's file reloaded: its changes take effect after a restart")
		return
	}
	if p.membership != nil && file.settings.Membership != nil {
		_, timeout, suspect := file.settings.Membership.Times()
		if err := p.membership.SetTimeouts(timeout, suspect); err != nil {
			p.log.Error("invalid membership timeouts, keeping the old ones", "error", err)
		}
	}
	if p.loadReports != nil {
		p.loadReports.SetDisabled(file.settings.Spread == nil)
	}
	if p.subset != nil {
		p.subset.Configure(file.subset)
	}
	p.operator = file.settings
	p.log.Info("operator's file reloaded")
}
