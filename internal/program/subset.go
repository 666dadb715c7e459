package program

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"frostpier/internal/netio"
	"frostpier/internal/settings"
	"frostpier/internal/subset"
	"frostpier/internal/zonetable"
)

const (
	subsetInterval  = time.Second      // between two updates of the subset
	joinShare       = 0.9              // share of the gateways in service whose zones must be known for a first subset
	joinTimeout     = 15 * time.Second // after which a subset is chosen with fewer
	weightsInterval = 5 * time.Second  // between two comparisons with the subsets of all gateways
	unknownWeight   = 0.5              // of a gateway whose subset is not known, as a receiver of load reports
)

// subsetting keeps the subset of the engines that this gateway uses up to date: from the operator's file, the zones of the
// gateways, and membership. All calls come from the loop.
type subsetting struct {
	gateway   *netio.Gateway
	members   *netio.Members
	table     *zonetable.Table
	log       *slog.Logger
	host      settings.Host
	config    *subset.Config   // in force; nil = every engine is used
	joinBy    time.Duration    // when a subset is chosen at the latest
	joined    bool             // a subset is chosen
	gateways  []subset.Gateway // as last set
	weights   []float64        // of the members as receivers of load reports; nil = all alike
	weightsAt time.Duration    // when the weights are next computed
	size      int              // of the subset, as last logged
	timer     *netio.Timer
}

// subsetConfig returns the configuration of a section; nil for none.
func subsetConfig(section *settings.Subset, zones []string) (*subset.Config, error) {
	if section == nil {
		return nil, nil
	}
	config, err := section.Config(zones)
	if err != nil {
		return nil, err
	}
	if len(zones) > zonetable.MostZones {
		return nil, fmt.Errorf("operator's file: subset: the settings have %d zones, %d at most", len(zones), zonetable.MostZones)
	}
	return &config, nil
}

// newSubsetting prepares subsetting. A nil configuration leaves it off until the operator's file is read again.
func newSubsetting(config *subset.Config, host settings.Host, gateway *netio.Gateway, log *slog.Logger) *subsetting {
	s := &subsetting{gateway: gateway, log: log, host: host, config: config}
	s.table = zonetable.New(host.Module.Number, host.Module.Siblings, s.zones(), s.zone(),
		func(member int) time.Duration { return s.members.Started(member) })
	return s
}

// zones are those of the settings; a fleet without zones is one zone without a name.
func (s *subsetting) zones() []string {
	if len(s.host.Zones) == 0 {
		return []string{""}
	}
	return s.host.Zones
}

// zone is the own zone, -1 if the settings do not name it.
func (s *subsetting) zone() int {
	if zone := s.host.Module.Zone; zone >= 0 && zone < len(s.zones()) {
		return zone
	}
	return -1
}

// start applies the configuration of the program's start.
func (s *subsetting) start() {
	config := s.config
	s.config = nil
	s.configure(config)
}

// configure changes the configuration; nil turns subsetting off.
func (s *subsetting) configure(config *subset.Config) {
	var err error
	switch {
	case config == nil && s.config == nil:
		return
	case config == nil:
		s.turnOff()
	case s.config == nil:
		err = s.turnOn(*config)
	default:
		err = s.gateway.ConfigureSubset(*config)
	}
	if err != nil {
		s.log.Error("subset configuration not changed", "error", err)
		return
	}
	s.config = config
	s.log.Info("subset configured", "on", config != nil)
	s.tick()
}

func (s *subsetting) turnOn(config subset.Config) error {
	chooser, err := subset.New(config, s.host.Module.Number, s.zone(), s.host.Module.Siblings)
	if err != nil {
		return err
	}
	s.joinBy, s.joined, s.gateways = s.gateway.Loop.Now()+joinTimeout, false, nil
	s.gateway.UseSubset(chooser)
	return nil
}

func (s *subsetting) turnOff() {
	s.table.SetOn(false)
	s.weights = nil
	s.gateway.UseSubset(nil)
}

// tick updates the subset and schedules the next update.
func (s *subsetting) tick() {
	s.timer.Stop()
	if s.config == nil {
		return
	}
	s.timer = s.gateway.Loop.After(subsetInterval, s.tick)
	listed, _ := s.gateway.Core.SubsetSize()
	s.table.SetOn(listed > s.config.Least)
	s.updateGateways()
	s.gateway.TickSubset()
	s.updateWeights()
	if _, used := s.gateway.Core.SubsetSize(); used != s.size {
		s.size = used
		s.log.Debug("subset size changed", "engines", listed, "subset", used)
	}
}

// updateGateways sets which gateways are in service in which zones, if that has changed. At the start it waits until most
// zones are known: before that, a gateway would choose nearly every engine, as if it were alone.
func (s *subsetting) updateGateways() {
	gateways := make([]subset.Gateway, s.host.Module.Siblings)
	serving, known := 0, 0
	for i := range gateways {
		gateways[i] = subset.Gateway{Zone: s.table.Zone(i), InService: s.members.Serves(i)}
		if gateways[i].InService {
			serving++
			if gateways[i].Zone >= 0 {
				known++
			}
		}
	}
	s.joined = s.joined || float64(known) >= joinShare*float64(serving) || s.gateway.Loop.Now() >= s.joinBy
	if !s.joined || slices.Equal(gateways, s.gateways) {
		return
	}
	s.gateways = gateways
	s.gateway.SetGateways(gateways)
}

// updateWeights has load reports sent to the gateways that use the same engines.
func (s *subsetting) updateWeights() {
	if !s.gateway.Core.Narrowed() {
		s.weights = nil
		return
	}
	now := s.gateway.Loop.Now()
	if s.weights != nil && now < s.weightsAt {
		return
	}
	s.weightsAt = now + weightsInterval
	s.weights = make([]float64, len(s.gateways))
	for i, g := range s.gateways {
		s.weights[i] = s.gateway.Core.Overlap(i)
		if g.Zone < 0 {
			s.weights[i] = unknownWeight
		}
	}
}

// receiverWeights is the weight of each member as the receiver of a datagram for extensions alone.
func (s *subsetting) receiverWeights() []float64 { return s.weights }

// ReceiveZones records the zones that another gateway reports. The next update of the subset uses them.
func (p peers) ReceiveZones(member int, body []byte) {
	p.subset.table.Receive(member, body)
}

// logSubset logs the size of the subset, and what it is shared with.
func (p *program) logSubset() {
	if p.subset == nil || p.subset.config == nil {
		return
	}
	c := p.gateway.Core.SubsetCounts()
	p.log.Info("subset counts", "engines", c.Listed, "subset", c.Subset, "serving", c.Serving, "holders", c.Holders, "sharers", c.Sharers,
		"added", c.Added, "removed", c.Removed)
}
