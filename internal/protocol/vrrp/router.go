package vrrp

import (
	"fmt"
	"net/netip"
	"time"
)

// State is the state of a virtual router (RFC 9568 section 6.4).
type State uint8

// The states. Master is the Active state of RFC 9568.
const (
	Initialize State = iota
	Backup
	Master
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"initialize", "backup", "master"}[s] }

// Step is an action that the driver must execute. Zero fields have no effect.
type Step struct {
	Send       []byte        // advertisement to send to all peers
	StartTimer time.Duration // start or restart the only timer
	StopTimer  bool          // stop the timer
	NewState   *State        // state after a transition; nil for none
}

// Router is the state machine of a virtual router on one VRRP router.
type Router struct {
	config Config
	state  State
	// activeInterval is Active_Adver_Interval: the interval in the advertisements of the master.
	activeInterval time.Duration
}

// New returns a Router in the state Initialize. An error is a *ConfigError.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Router{config: config, activeInterval: config.Interval}, nil
}

// State returns the current state.
func (r *Router) State() State { return r.state }

// skewTime returns Skew_Time (RFC 9568 section 6.1), by which routers with a higher priority take over sooner.
func (r *Router) skewTime() time.Duration {
	return time.Duration(256-int(r.config.Priority)) * r.activeInterval / 256
}

// activeDownInterval returns Active_Down_Interval (RFC 9568 section 6.1): the time without an advertisement after which a
// backup takes over.
func (r *Router) activeDownInterval() time.Duration { return 3*r.activeInterval + r.skewTime() }

func (r *Router) transition(s State) Step {
	r.state = s
	return Step{NewState: &s}
}

func (r *Router) advertise(priority uint8) Step {
	a := advertisement{vrid: r.config.VRID, priority: priority, interval: r.config.Interval, addrs: r.config.VirtualAddrs}
	return Step{Send: a.encode()}
}

// advertiseAndWait sends an advertisement and starts the timer for the next one.
func (r *Router) advertiseAndWait() []Step {
	return []Step{r.advertise(r.config.Priority), {StartTimer: r.config.Interval}}
}

// Startup handles the Startup event in the state Initialize (RFC 9568 section 6.4.1): the owner of the addresses becomes
// master at once; any other router becomes a backup.
func (r *Router) Startup() []Step {
	if r.state != Initialize {
		return nil
	}
	if r.config.Priority == ownerPriority {
		return r.becomeMaster()
	}
	r.activeInterval = r.config.Interval
	return []Step{{StartTimer: r.activeDownInterval()}, r.transition(Backup)}
}

func (r *Router) becomeMaster() []Step {
	return append(r.advertiseAndWait(), r.transition(Master))
}

// Shutdown handles the Shutdown event: the router returns to Initialize. A master advertises priority 0 first, so that
// a backup takes over without waiting (RFC 9568 section 6.4.3).
func (r *Router) Shutdown() []Step {
	previous := r.state
	if previous == Initialize {
		return nil
	}
	steps := []Step{{StopTimer: true}, r.transition(Initialize)}
	if previous == Master {
		steps = append([]Step{r.advertise(stopPriority)}, steps...)
	}
	return steps
}

// TimerFired handles the expiry of the timer: Active_Down_Timer in a backup, Adver_Timer in a master.
func (r *Router) TimerFired() []Step {
	switch r.state {
	case Backup:
		return r.becomeMaster()
	case Master:
		return r.advertiseAndWait()
	}
	return nil
}

// Received handles an advertisement from a peer. If the advertisement is discarded, the error matches ErrDiscarded and the
// state is unchanged.
func (r *Router) Received(from netip.Addr, b []byte) ([]Step, error) {
	a, err := parseAdvertisement(b)
	if err != nil {
		return nil, err
	}
	if err := r.checkAdvertisement(from, a); err != nil {
		return nil, err
	}
	switch r.state {
	case Backup:
		return r.handleAsBackup(a), nil
	case Master:
		return r.handleAsMaster(from, a), nil
	}
	return nil, nil
}

// checkAdvertisement checks an advertisement against this router's configuration.
func (r *Router) checkAdvertisement(from netip.Addr, a advertisement) error {
	switch {
	case a.vrid != r.config.VRID:
		return fmt.Errorf("%w: %d", errOtherRouter, a.vrid)
	case r.config.Priority == ownerPriority:
		return fmt.Errorf("%w, %v does not", errNotOwner, from)
	case a.priority != stopPriority && a.interval == 0:
		return errZeroInterval
	}
	return nil
}

// handleAsBackup handles an advertisement in the state Backup (RFC 9568 section 6.4.2). With Preempt it
// ignores an advertisement with a lower priority, so that the timer fires and this router takes over.
func (r *Router) handleAsBackup(a advertisement) []Step {
	switch {
	case a.priority == stopPriority:
		return []Step{{StartTimer: max(intervalUnit, r.skewTime())}}
	case !r.config.Preempt || a.priority >= r.config.Priority:
		r.activeInterval = a.interval
		return []Step{{StartTimer: r.activeDownInterval()}}
	}
	return nil
}

// handleAsMaster handles an advertisement in the state Master (RFC 9568 section 6.4.3). If this router has
// precedence, it sends an advertisement at once, so that the other becomes a backup.
func (r *Router) handleAsMaster(from netip.Addr, a advertisement) []Step {
	switch {
	case a.priority == stopPriority:
		return r.advertiseAndWait()
	case r.yieldsTo(from, a.priority):
		r.activeInterval = a.interval
		return []Step{{StartTimer: r.activeDownInterval()}, r.transition(Backup)}
	}
	return []Step{r.advertise(r.config.Priority)}
}

// yieldsTo reports whether another router has precedence: by priority, or by primary address between equal priorities.
func (r *Router) yieldsTo(from netip.Addr, priority uint8) bool {
	if priority != r.config.Priority {
		return priority > r.config.Priority
	}
	return from.Compare(r.config.PrimaryAddr) > 0
}
