package subsetdriver

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

	joinKnownShare  = 0.9              // share of the gateways in service whose zones must be known for a first subset
	joinTimeout     = 15 * time.Second // after which a first subset is chosen with fewer
	weightsInterval = 5 * time.Second  // between two comparisons with the subsets of all gateways
	unknownZone     = -1               // stands for a zone that is not known, as in package subset
	unknownWeight   = 0.5              // weight of a gateway whose subset is not known, as a receiver of load reports
)

// Dispatcher restricts a gateway to the engines of a subset. In the program it is a dispatcher.Dispatcher.
type Dispatcher interface {
	// UseSubset restricts the gateway to the engines that the chooser selects; nil lifts the restriction.
	UseSubset(chooser *subset.Chooser)
	// ConfigureSubset changes the settings of the subset. Invalid settings are an error and change nothing.
	ConfigureSubset(config subset.Config) error
	// SetGateways sets the zones of the gateways, and which of them are in service.
	SetGateways(gateways []subset.Gateway)
	// TickSubset removes engines whose linger time has ended. It is called every second.
	TickSubset()
	// SubsetSize returns how many engines are listed, and how many of them are used.
	SubsetSize() (listed, used int)
	// SubsetActive reports whether fewer than all engines are used.
	SubsetActive() bool
	// SubsetOverlap returns the share of another gateway's subset that lies in the own one, 0 if it is not known.
	SubsetOverlap(gateway int) float64
}

// Membership is what membership knows of the gateways.
type Membership interface {
	// IsInService reports whether a gateway is in service.
	IsInService(member int) bool
	// StartTime returns the Unix time of a gateway's start.
	StartTime(member int) time.Duration
}

// Location is the place of a gateway in its fleet.
type Location struct {
	Number   int      // of the gateway, from 0
	Gateways int      // configured ones
	Zones    []string // names; empty = a fleet without zones
	Zone     int      // index in Zones; out of range = not known
}

// Updater keeps the subset of a gateway's engines up to date: from its configuration, the zones of the gateways, and
// membership. It is not safe for concurrent use. Times are those of a clock that never runs backwards.
type Updater struct {
	engines      Dispatcher
	members      Membership
	zoneTable    *zonetable.Table
	log          *slog.Logger
	place        Location
	config       *subset.Config   // in force; nil = every engine is used
	joinDeadline time.Duration    // when a first subset is chosen at the latest
	joined       bool             // a first subset is chosen
	gateways     []subset.Gateway // as last set
	weights      []float64        // of the gateways as receivers of load reports; nil = all alike
	weightsAt    time.Duration    // when the weights are next computed
	loggedSize   int              // of the subset, as last logged
}

// New returns an Updater that is off. Start has to be called before anything else.
func New(place Location, engines Dispatcher, log *slog.Logger) *Updater {
	if len(place.Zones) == 0 {
		place.Zones = []string{""} // a fleet without zones is one zone without a name
	}
	u := &Updater{engines: engines, log: log, place: place}
	u.zoneTable = zonetable.New(place.Number, place.Gateways, place.Zones, u.zone(),
		func(member int) time.Duration { return u.members.StartTime(member) })
	return u
}

// Extension returns what carries the zones on membership's datagrams.
func (u *Updater) Extension() membership.Extension { return u.zoneTable }

// ReceiveZones records the zones that another gateway sent. The next update of the subset uses them.
func (u *Updater) ReceiveZones(member int, body []byte) { u.zoneTable.Receive(member, body) }

// Start applies the first configuration; nil leaves subsets off until Configure.
func (u *Updater) Start(now time.Duration, members Membership, config *subset.Config) {
	u.members = members
	u.Configure(now, config)
}

// Enabled reports whether subsets are configured.
func (u *Updater) Enabled() bool { return u.config != nil }

// zone returns the own zone, unknownZone if the settings do not name it.
func (u *Updater) zone() int {
	if zone := u.place.Zone; zone >= 0 && zone < len(u.place.Zones) {
		return zone
	}
	return unknownZone
}

// Configure changes the configuration; nil turns subsets off. An invalid configuration is logged and changes nothing.
func (u *Updater) Configure(now time.Duration, config *subset.Config) {
	var err error
	switch {
	case config == nil && u.config == nil:
		return
	case config == nil:
		u.disable()
	case u.config == nil:
		err = u.enable(now, *config)
	default:
		err = u.engines.ConfigureSubset(*config)
	}
	if err != nil {
		u.log.Error("subset configuration not changed", "error", err)
		return
	}
	u.config = config
	u.log.Info("subset configured", "on", u.Enabled())
	u.Tick(now)
}

func (u *Updater) enable(now time.Duration, config subset.Config) error {
	chooser, err := subset.New(config, u.place.Number, u.zone(), u.place.Gateways)
	if err != nil {
		return err
	}
	u.joinDeadline, u.joined, u.gateways = now+joinTimeout, false, nil
	u.engines.UseSubset(chooser)
	return nil
}

func (u *Updater) disable() {
	u.zoneTable.SetUsesSubset(false)
	u.weights = nil
	u.engines.UseSubset(nil)
}

// Tick updates the subset. It is called each Interval while subsets are configured.
func (u *Updater) Tick(now time.Duration) {
	if u.config == nil {
		return
	}
	listed, _ := u.engines.SubsetSize()
	u.zoneTable.SetUsesSubset(listed > u.config.MinEngines)
	u.updateGateways(now)
	u.engines.TickSubset()
	u.updateWeights(now)
	if _, used := u.engines.SubsetSize(); used != u.loggedSize {
		u.loggedSize = used
		u.log.Debug("subset size changed", "engines", listed, "subset", used)
	}
}

// updateGateways sets which gateways are in service in which zones, if that has changed. At the start it waits until most
// zones are known: before that, a gateway would choose nearly every engine, as if it were alone.
func (u *Updater) updateGateways(now time.Duration) {
	gateways := u.knownGateways()
	u.joined = u.joined || enoughZonesKnown(gateways) || now >= u.joinDeadline
	if !u.joined || slices.Equal(gateways, u.gateways) {
		return
	}
	u.gateways = gateways
	u.engines.SetGateways(gateways)
}

// knownGateways returns what is known of the gateways, by their numbers.
func (u *Updater) knownGateways() []subset.Gateway {
	gateways := make([]subset.Gateway, u.place.Gateways)
	for i := range gateways {
		gateways[i] = subset.Gateway{Zone: u.zoneTable.Zone(i), InService: u.members.IsInService(i)}
	}
	return gateways
}

// enoughZonesKnown reports whether the zones of enough gateways in service are known for a first subset.
func enoughZonesKnown(gateways []subset.Gateway) bool {
	inService, known := 0, 0
	for _, g := range gateways {
		if !g.InService {
			continue
		}
		inService++
		if g.Zone >= 0 {
			known++
		}
	}
	return float64(known) >= joinKnownShare*float64(inService)
}

// updateWeights sets the weights by which load reports are sent to the gateways that use the same engines.
func (u *Updater) updateWeights(now time.Duration) {
	if !u.engines.SubsetActive() {
		u.weights = nil
		return
	}
	if u.weights != nil && now < u.weightsAt {
		return
	}
	u.weightsAt = now + weightsInterval
	u.weights = make([]float64, len(u.gateways))
	for i, g := range u.gateways {
		u.weights[i] = u.engines.SubsetOverlap(i)
		if g.Zone < 0 {
			u.weights[i] = unknownWeight
		}
	}
}

// ReceiverWeights returns the weight of each gateway as the receiver of a datagram that carries extensions alone; nil = all alike.
func (u *Updater) ReceiverWeights() []float64 { return u.weights }
