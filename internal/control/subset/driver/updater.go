// Package driver drives package subset in a running gateway: it brings together the configuration, the zones that gateways
// send each other, membership's view and the gateway's engines. Updater is a state machine that is handed the time; Driver runs
// one on the gateway's loop.
package driver

import (
	"log/slog"
	"slices"
	"time"

	"frostpier/internal/control/membership"
	"frostpier/internal/control/subset"
	"frostpier/internal/control/zonetable"
)

const (
	// Interval is the time between two updates of the subset.
	Interval = time.Second

	joinShare       = 0.9              // share of the gateways in service whose zones must be known for a first subset
	joinTimeout     = 15 * time.Second // after which a subset is chosen with fewer
	weightsInterval = 5 * time.Second  // between two comparisons with the subsets of all gateways
	unknownWeight   = 0.5              // of a gateway whose subset is not known, as a receiver of load reports
)

// Engines is what a gateway does with its engines: it uses those of a subset. In the program it is a dispatcher.Dispatcher.
type Engines interface {
	// UseSubset restricts the gateway to the engines that the chooser selects; nil lifts the restriction.
	UseSubset(chooser *subset.Chooser)
	// ConfigureSubset changes the settings of the subset. Invalid settings are an error and change nothing.
	ConfigureSubset(config subset.Config) error
	// SetGateways sets the zones of the gateways, and which of them are in service.
	SetGateways(gateways []subset.Gateway)
	// TickSubset removes engines whose linger time has ended. It is called every second.
	TickSubset()
	// SubsetSize is how many engines are listed, and how many of them are used.
	SubsetSize() (listed, used int)
	// Narrowed reports whether fewer than all engines are used.
	Narrowed() bool
	// Overlap is the share of another gateway's subset that lies in the own one, as far as it is known.
	Overlap(gateway int) float64
}

// Members is what membership knows of the gateways.
type Members interface {
	Serves(member int) bool
	Started(member int) time.Duration // Unix time
}

// Place is where a gateway is in its fleet.
type Place struct {
	Number   int // of the gateway, from 0
	Gateways int // that are configured
	Zones    []string
	Zone     int // index in Zones
}

// Updater keeps the subset of the engines that a gateway uses up to date: from its configuration, the zones of the
// gateways, and membership. It is not safe for concurrent use.
type Updater struct {
	engines   Engines
	members   Members
	table     *zonetable.Table
	log       *slog.Logger
	place     Place
	config    *subset.Config   // in force; nil = every engine is used
	joinBy    time.Duration    // when a subset is chosen at the latest
	joined    bool             // a subset is chosen
	gateways  []subset.Gateway // as last set
	weights   []float64        // of the members as receivers of load reports; nil = all alike
	weightsAt time.Duration    // when the weights are next computed
	size      int              // of the subset, as last logged
}

// New prepares an Updater that is off. Start has to be called before anything else.
func New(place Place, engines Engines, log *slog.Logger) *Updater {
	if len(place.Zones) == 0 {
		place.Zones = []string{""} // a fleet without zones is one zone without a name
	}
	u := &Updater{engines: engines, log: log, place: place}
	u.table = zonetable.New(place.Number, place.Gateways, place.Zones, u.zone(),
		func(member int) time.Duration { return u.members.Started(member) })
	return u
}

// Extension carries the zones on membership's datagrams.
func (u *Updater) Extension() membership.Extension { return u.table }

// ReceiveZones records the zones that another gateway reports. The next update of the subset uses them.
func (u *Updater) ReceiveZones(member int, body []byte) { u.table.Receive(member, body) }

// Start applies the first configuration; nil leaves subsets off until Configure.
func (u *Updater) Start(now time.Duration, members Members, config *subset.Config) {
	u.members = members
	u.Configure(now, config)
}

// On reports whether subsets are configured.
func (u *Updater) On() bool { return u.config != nil }

// zone is the own zone, -1 if the settings do not name it.
func (u *Updater) zone() int {
	if zone := u.place.Zone; zone >= 0 && zone < len(u.place.Zones) {
		return zone
	}
	return -1
}

// Configure changes the configuration; nil turns subsetting off.
func (u *Updater) Configure(now time.Duration, config *subset.Config) {
	var err error
	switch {
	case config == nil && u.config == nil:
		return
	case config == nil:
		u.turnOff()
	case u.config == nil:
		err = u.turnOn(now, *config)
	default:
		err = u.engines.ConfigureSubset(*config)
	}
	if err != nil {
		u.log.Error("subset configuration not changed", "error", err)
		return
	}
	u.config = config
	u.log.Info("subset configured", "on", u.On())
	u.Tick(now)
}

func (u *Updater) turnOn(now time.Duration, config subset.Config) error {
	chooser, err := subset.New(config, u.place.Number, u.zone(), u.place.Gateways)
	if err != nil {
		return err
	}
	u.joinBy, u.joined, u.gateways = now+joinTimeout, false, nil
	u.engines.UseSubset(chooser)
	return nil
}

func (u *Updater) turnOff() {
	u.table.SetOn(false)
	u.weights = nil
	u.engines.UseSubset(nil)
}

// Tick updates the subset. It is called each Interval while subsets are configured.
func (u *Updater) Tick(now time.Duration) {
	if u.config == nil {
		return
	}
	listed, _ := u.engines.SubsetSize()
	u.table.SetOn(listed > u.config.Least)
	u.updateGateways(now)
	u.engines.TickSubset()
	u.updateWeights(now)
	if _, used := u.engines.SubsetSize(); used != u.size {
		u.size = used
		u.log.Debug("subset size changed", "engines", listed, "subset", used)
	}
}

// updateGateways sets which gateways are in service in which zones, if that has changed. At the start it waits until most
// zones are known: before that, a gateway would choose nearly every engine, as if it were alone.
func (u *Updater) updateGateways(now time.Duration) {
	gateways := make([]subset.Gateway, u.place.Gateways)
	serving, known := 0, 0
	for i := range gateways {
		gateways[i] = subset.Gateway{Zone: u.table.Zone(i), InService: u.members.Serves(i)}
		if gateways[i].InService {
			serving++
			if gateways[i].Zone >= 0 {
				known++
			}
		}
	}
	u.joined = u.joined || float64(known) >= joinShare*float64(serving) || now >= u.joinBy
	if !u.joined || slices.Equal(gateways, u.gateways) {
		return
	}
	u.gateways = gateways
	u.engines.SetGateways(gateways)
}

// updateWeights has load reports sent to the gateways that use the same engines.
func (u *Updater) updateWeights(now time.Duration) {
	if !u.engines.Narrowed() {
		u.weights = nil
		return
	}
	if u.weights != nil && now < u.weightsAt {
		return
	}
	u.weightsAt = now + weightsInterval
	u.weights = make([]float64, len(u.gateways))
	for i, g := range u.gateways {
		u.weights[i] = u.engines.Overlap(i)
		if g.Zone < 0 {
			u.weights[i] = unknownWeight
		}
	}
}

// ReceiverWeights is the weight of each member as the receiver of a datagram for extensions alone.
func (u *Updater) ReceiverWeights() []float64 { return u.weights }
