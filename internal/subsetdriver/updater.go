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

	minKnownZoneShare     = 0.9              // share of the gateways in service whose zones must be known to choose the first subset
	firstSubsetTimeout    = 15 * time.Second // time after which the first subset is chosen even if fewer zones are known
	weightsUpdateInterval = 5 * time.Second  // time between two updates of the weights of load report receivers
	unknownZone           = -1               // zone of a gateway whose zone is unknown, as in package subset
	unknownWeight         = 0.5              // weight of a load report receiver whose subset is unknown
)

// Dispatcher restricts a gateway to the engines of a subset. The program's implementation is dispatcher.Dispatcher.
type Dispatcher interface {
	// UseSubset restricts the gateway to the engines that the chooser selects; nil removes the restriction.
	UseSubset(chooser *subset.Chooser)
	// ConfigureSubset changes the settings of the subset. If they are invalid, it changes nothing and returns an error.
	ConfigureSubset(config subset.Config) error
	// SetGateways sets the zones of the gateways, and which of them are in service.
	SetGateways(gateways []subset.Gateway)
	// TickSubset removes engines whose linger time has elapsed. It is called every second.
	TickSubset()
	// SubsetSize returns the number of listed engines and the number of those that the gateway uses.
	SubsetSize() (listed, used int)
	// UsesSubset reports whether the gateway uses fewer than all engines.
	UsesSubset() bool
	// SubsetOverlap returns the share of another gateway's subset that is also in this gateway's subset, or 0 if unknown.
	SubsetOverlap(gateway int) float64
}

// Membership provides the membership state of the gateways.
type Membership interface {
	// IsInService reports whether a gateway is in service.
	IsInService(member int) bool
	// StartTime returns the Unix time at which a gateway started.
	StartTime(member int) time.Duration
}

// Location describes the position of a gateway in its fleet.
type Location struct {
	GatewayIndex int      // index of the gateway, from 0
	Gateways     int      // number of configured gateways
	Zones        []string // names of the zones; empty = a fleet without zones
	Zone         int      // index in Zones; out of range = unknown
}

// Updater keeps a gateway's subset up to date when its configuration, the zones of the gateways or the membership change. It
// is not safe for concurrent use. The times that are passed to it must come from a monotonic clock.
type Updater struct {
	dispatcher          Dispatcher
	members             Membership
	zoneTable           *zonetable.Table
	log                 *slog.Logger
	location            Location
	config              *subset.Config   // current configuration; nil = the gateway uses every engine
	firstSubsetDeadline time.Duration    // latest time for the choice of the first subset
	firstSubsetChosen   bool             // the first subset has been chosen
	gateways            []subset.Gateway // gateways that were last passed to Dispatcher.SetGateways
	weights             []float64        // weights of the gateways as receivers of load reports; nil = equal weights
	nextWeightsUpdate   time.Duration    // time of the next update of the weights
	loggedSize          int              // size of the subset when it was last logged
}

// New returns an Updater with subsets disabled. Start must be called before any other method.
func New(location Location, dispatcher Dispatcher, log *slog.Logger) *Updater {
	if len(location.Zones) == 0 {
		location.Zones = []string{""} // a fleet without zones has a single, unnamed zone
	}
	u := &Updater{dispatcher: dispatcher, log: log, location: location}
	u.zoneTable = zonetable.New(location.GatewayIndex, location.Gateways, location.Zones, u.zone(),
		func(member int) time.Duration { return u.members.StartTime(member) })
	return u
}

// Extension returns the membership extension that exchanges zones with the other gateways.
func (u *Updater) Extension() membership.Extension { return u.zoneTable }

// ReceiveZones stores the zones in a message from another gateway. The next update of the subset uses them.
func (u *Updater) ReceiveZones(member int, body []byte) { u.zoneTable.Receive(member, body) }

// Start applies the initial configuration. If it is nil, subsets are disabled until Configure enables them.
func (u *Updater) Start(now time.Duration, members Membership, config *subset.Config) {
	u.members = members
	u.Configure(now, config)
}

// Enabled reports whether subsets are configured.
func (u *Updater) Enabled() bool { return u.config != nil }

// zone returns this gateway's zone, or unknownZone if it is not one of the zones in the settings.
func (u *Updater) zone() int {
	if zone := u.location.Zone; zone >= 0 && zone < len(u.location.Zones) {
		return zone
	}
	return unknownZone
}

// Configure replaces the configuration. A nil configuration disables subsets. An invalid one is logged and changes nothing.
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
		err = u.dispatcher.ConfigureSubset(*config)
	}
	if err != nil {
		u.log.Error("invalid subset configuration, keeping the old one", "error", err)
		return
	}
	u.config = config
	u.log.Info("subset configured", "on", u.Enabled())
	u.Tick(now)
}

func (u *Updater) enable(now time.Duration, config subset.Config) error {
	chooser, err := subset.New(config, u.location.GatewayIndex, u.zone(), u.location.Gateways)
	if err != nil {
		return err
	}
	u.firstSubsetDeadline, u.firstSubsetChosen, u.gateways = now+firstSubsetTimeout, false, nil
	u.dispatcher.UseSubset(chooser)
	return nil
}

func (u *Updater) disable() {
	u.zoneTable.SetUsesSubset(false)
	u.weights = nil
	u.dispatcher.UseSubset(nil)
}

// Tick updates the subset. It must be called once per Interval while subsets are configured.
func (u *Updater) Tick(now time.Duration) {
	if u.config == nil {
		return
	}
	listed, _ := u.dispatcher.SubsetSize()
	u.zoneTable.SetUsesSubset(listed > u.config.MinEngines)
	u.updateGateways(now)
	u.dispatcher.TickSubset()
	u.updateWeights(now)
	if _, used := u.dispatcher.SubsetSize(); used != u.loggedSize {
		u.loggedSize = used
		u.log.Debug("subset size changed", "engines", listed, "subset", used)
	}
}

// updateGateways passes the zones of the gateways, and which of them are in service, to the dispatcher if they have changed.
// After the start it first waits until most zones are known, because a gateway that knows no others chooses nearly every
// engine.
func (u *Updater) updateGateways(now time.Duration) {
	gateways := u.knownGateways()
	u.firstSubsetChosen = u.firstSubsetChosen || enoughZonesKnown(gateways) || now >= u.firstSubsetDeadline
	if !u.firstSubsetChosen || slices.Equal(gateways, u.gateways) {
		return
	}
	u.gateways = gateways
	u.dispatcher.SetGateways(gateways)
}

// knownGateways returns the known states of the gateways, indexed by number.
func (u *Updater) knownGateways() []subset.Gateway {
	gateways := make([]subset.Gateway, u.location.Gateways)
	for i := range gateways {
		gateways[i] = subset.Gateway{Zone: u.zoneTable.Zone(i), InService: u.members.IsInService(i)}
	}
	return gateways
}

// enoughZonesKnown reports whether enough gateways in service have a known zone to choose the first subset.
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
	return float64(known) >= minKnownZoneShare*float64(inService)
}

// updateWeights recomputes the weights of the gateways as receivers of load reports once per weightsUpdateInterval. A
// gateway's weight is the overlap of its subset with this gateway's.
func (u *Updater) updateWeights(now time.Duration) {
	if !u.dispatcher.UsesSubset() {
		u.weights = nil
		return
	}
	if u.weights != nil && now < u.nextWeightsUpdate {
		return
	}
	u.nextWeightsUpdate = now + weightsUpdateInterval
	u.weights = make([]float64, len(u.gateways))
	for i, g := range u.gateways {
		u.weights[i] = u.dispatcher.SubsetOverlap(i)
		if g.Zone < 0 {
			u.weights[i] = unknownWeight
		}
	}
}

// ReceiverWeights returns the weights with which the receivers of datagrams that carry only extensions are chosen, by gateway.
// A nil result means equal weights.
func (u *Updater) ReceiverWeights() []float64 { return u.weights }
