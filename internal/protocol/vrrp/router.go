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

// Step is what the driver is to do next. Zero fields have no effect.
type Step struct {
	Send       []byte        // an advertisement for all peers
	StartTimer time.Duration // (re)start the timer; there is one timer
	StopTimer  bool          // stop the timer
	NewState   *State        // the new state
}

// Router is the state machine of a virtual router on one router.
type Router struct {
	config Config
	state  State
	// activeInterval is Active_Adver_Interval, which the active router's advertisements carry.
	activeInterval time.Duration
}

// New returns a Router in the state Initialize. The error is a *ConfigError.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Router{config: config, activeInterval: config.Interval}, nil
}

// State returns the current state.
func (r *Router) State() State { return r.state }

// skewTime is Skew_Time (RFC 9568 section 6.1): routers of higher priority take over sooner.
func (r *Router) skewTime() time.Duration {
	return time.Duration(256-int(r.config.Priority)) * r.activeInterval / 256
}

// activeDownInterval is Active_Down_Interval (RFC 9568 section 6.1): after so long without an advertisement a backup
// takes over.
func (r *Router) activeDownInterval() time.Duration { return 3*r.activeInterval + r.skewTime() }

func (r *Router) transition(s State) Step {
	r.state = s
	return Step{NewState: &s}
}

func (r *Router) advertise(priority uint8) Step {
	a := advertisement{vrid: r.config.VRID, priority: priority, interval: r.config.Interval, addrs: r.config.VirtualAddrs}
	return Step{Send: a.encode()}
}

// advertiseAndWait sends an advertisement and starts the timer for the next.
func (r *Router) advertiseAndWait() []Step {
	return []Step{r.advertise(r.config.Priority), {StartTimer: r.config.Interval}}
}

// Startup handles the Startup event in the state Initialize (RFC 9568 section 6.4.1): the owner of the addresses becomes
// master at once, any other router becomes a backup.
func (r *Router) Startup() []Step {
	if r.state != Initialize {
		return nil
	}
	if r.config.Priority == ownerPriority {
		return r.becomeActive()
	}
	r.activeInterval = r.config.Interval
	return []Step{{StartTimer: r.activeDownInterval()}, r.transition(Backup)}
}

func (r *Router) becomeActive() []Step {
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
		steps = append([]Step{r.advertise(releasePriority)}, steps...)
	}
	return steps
}

// TimerFired handles the expiry of the timer: Active_Down_Timer in a backup, Adver_Timer in a master.
func (r *Router) TimerFired() []Step {
	switch r.state {
	case Backup:
		return r.becomeActive()
	case Master:
		return r.advertiseAndWait()
	}
	return nil
}

// Received handles bytes received from a peer. An error matches ErrDiscarded and says why they were discarded; the
// state is unchanged then.
func (r *Router) Received(from netip.Addr, b []byte) ([]Step, error) {
	a, err := parseAdvertisement(b)
	if err != nil {
		return nil, err
	}
	if err := r.accepts(from, a); err != nil {
		return nil, err
	}
	switch r.state {
	case Backup:
		return r.handleAsBackup(a), nil
	case Master:
		return r.handleAsActive(from, a), nil
	}
	return nil, nil
}

// accepts checks an advertisement against this router's configuration.
func (r *Router) accepts(from netip.Addr, a advertisement) error {
	switch {
	case a.vrid != r.config.VRID:
		return fmt.Errorf("%w: %d", errOtherRouter, a.vrid)
	case r.config.Priority == ownerPriority:
		return fmt.Errorf("%w, %v does not", errNotOwner, from)
	case a.priority != releasePriority && a.interval == 0:
		return errZeroInterval
	}
	return nil
}

// handleAsBackup handles an advertisement in the state Backup (RFC 9568 section 6.4.2). One of a master of lower
// priority is ignored with Preempt, so that the timer fires and this router takes over.
func (r *Router) handleAsBackup(a advertisement) []Step {
	switch {
	case a.priority == releasePriority:
		return []Step{{StartTimer: max(intervalUnit, r.skewTime())}}
	case !r.config.Preempt || a.priority >= r.config.Priority:
		r.activeInterval = a.interval
		return []Step{{StartTimer: r.activeDownInterval()}}
	}
	return nil
}

// handleAsActive handles an advertisement in the state Master (RFC 9568 section 6.4.3). To a router of lower precedence
// it answers with an advertisement at once, so that this one steps back.
func (r *Router) handleAsActive(from netip.Addr, a advertisement) []Step {
	switch {
	case a.priority == releasePriority:
		return r.advertiseAndWait()
	case r.yieldsTo(from, a.priority):
		r.activeInterval = a.interval
		return []Step{{StartTimer: r.activeDownInterval()}, r.transition(Backup)}
	}
	return []Step{r.advertise(r.config.Priority)}
}

// yieldsTo reports whether another router takes precedence: by priority, or by address between equal priorities.
func (r *Router) yieldsTo(from netip.Addr, priority uint8) bool {
	if priority != r.config.Priority {
		return priority > r.config.Priority
	}
	return from.Compare(r.config.PrimaryAddr) > 0
}
