package program

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"frostpier/internal/settings"
)

var errNoDiscovery = errors.New("no discovery server: the key bulletin is missing")

// readConfig reads the configuration that the platform hands out.
func readConfig() (settings.Config, error) {
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return settings.Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return settings.ParseConfig(text)
}

// reload is what SIGHUP asks for: the discovery server of the new configuration is watched from the last event on, and all
// else goes on. What else has changed in it holds from the next start. One that cannot be read changes nothing.
func (p *program) reload(old settings.Config) {
	conf, err := readConfig()
	if err == nil && conf.Discovery == "" && old.Discovery != "" {
		err = errNoDiscovery
	}
	if err != nil {
		p.log.Error("configuration not read again, the old one stays", "error", err)
		return
	}
	if conf.Listen != old.Listen && os.Getenv("GW_LISTEN") == "" || conf.Limits != old.Limits ||
		!bytes.Equal(conf.Settings, old.Settings) {
		p.log.Warn("configuration read again: listen, limits and settings hold from the next start")
	}
	events := 0
	p.loop.Do(func() {
		known, err := p.stream.Restore(conf.Known)
		if err != nil {
			p.log.Warn("initial engine events not all used", "error", err)
		}
		for _, e := range known {
			p.dispatcher.UpdateEngines(e.Full, e.Engines)
		}
		events = len(known)
		p.watch.Follow(conf.Discovery)
	})
	p.log.Info("configuration read again", "discovery", conf.Discovery, "events", events)
}

// longest is the longest deadline of a class, as a stop counts it.
func longest(host settings.Host) time.Duration {
	d := time.Duration(0)
	for _, c := range host.Module.Classes {
		d = max(d, c.Deadline)
	}
	return min(d, deadlineIs)
}
