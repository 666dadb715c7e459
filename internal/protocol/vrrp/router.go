package vrrp

import (
	"fmt"
	"net/netip"
	"time"
)

// State is that of a virtual router.
type State uint8

// The states.
const (
	Initialize State = iota
	Backup
	Master
)

func (s State) String() string { return [...]string{"initialize", "backup", "master"}[s] }

// Config is how a virtual router is set up; it is the same on all its routers but for priority and address.
type Config struct {
	VRID     uint8
	Priority uint8 // 255 for the owner of the addresses, else 1 to 254
	Interval time.Duration
	Preempt  bool         // take over from a master of lower priority
	Self     netip.Addr   // decides between equal priorities: the higher wins
	Addrs    []netip.Addr // those that the router stands for
}

func (c Config) check() error {
	if c.VRID == 0 || c.Priority == 0 || c.Interval < tick || c.Interval > maxInterval || len(c.Addrs) == 0 ||
		len(c.Addrs) > 255 || !c.Self.Is4() {
		return fmt.Errorf("virtual router %d: priority %d, interval %v, %d addresses, self %v", c.VRID, c.Priority,
			c.Interval, len(c.Addrs), c.Self)
	}
	for _, a := range c.Addrs {
		if !a.Is4() {
			return fmt.Errorf("virtual router %d: %v is not IPv4", c.VRID, a)
		}
	}
	return nil
}

// Step is something that the driver is to do; of each only what is set.
type Step struct {
	Send  []byte        // to all peers
	Alarm time.Duration // start the one alarm anew
	Quiet bool          // stop the alarm
	Now   *State        // the state changed to this
}

// Router is a virtual router's state machine.
type Router struct {
	conf   Config
	state  State
	master time.Duration // the master's interval, as its messages tell
}

// New makes a Router in the state Initialize.
func New(conf Config) (*Router, error) {
	if err := conf.check(); err != nil {
		return nil, err
	}
	return &Router{conf: conf, master: conf.Interval}, nil
}

// State is the present state.
func (r *Router) State() State { return r.state }

// skew makes routers of higher priority take over sooner.
func (r *Router) skew() time.Duration {
	return time.Duration(256-int(r.conf.Priority)) * r.master / 256
}

// down is how long a master may be silent.
func (r *Router) down() time.Duration { return 3*r.master + r.skew() }

func (r *Router) become(s State) Step {
	r.state = s
	return Step{Now: &s}
}

func (r *Router) advert(priority uint8) Step {
	m := message{vrid: r.conf.VRID, priority: priority, interval: r.conf.Interval, addrs: r.conf.Addrs}
	return Step{Send: m.bytes()}
}

// Startup leaves Initialize: the owner of the addresses is master at once.
func (r *Router) Startup() []Step {
	if r.state != Initialize {
		return nil
	}
	if r.conf.Priority == owner {
		return r.lead()
	}
	r.master = r.conf.Interval
	return []Step{{Alarm: r.down()}, r.become(Backup)}
}

func (r *Router) lead() []Step {
	return []Step{r.advert(r.conf.Priority), {Alarm: r.conf.Interval}, r.become(Master)}
}

// Shutdown goes back to Initialize; a master says so by priority 0, so that a backup need not wait.
func (r *Router) Shutdown() []Step {
	was := r.state
	if was == Initialize {
		return nil
	}
	steps := []Step{{Quiet: true}, r.become(Initialize)}
	if was == Master {
		steps = append([]Step{r.advert(0)}, steps...)
	}
	return steps
}

// TimerFired says that the alarm went off: a master's to advertise, a backup's that the master is silent.
func (r *Router) TimerFired() []Step {
	switch r.state {
	case Backup:
		return r.lead()
	case Master:
		return []Step{r.advert(r.conf.Priority), {Alarm: r.conf.Interval}}
	}
	return nil
}

// Received takes a message; an error says why it was discarded.
func (r *Router) Received(from netip.Addr, b []byte) ([]Step, error) {
	m, err := parse(b)
	switch {
	case err != nil:
		return nil, err
	case m.vrid != r.conf.VRID:
		return nil, fmt.Errorf("%w: of virtual router %d", ErrMessage, m.vrid)
	case r.conf.Priority == owner:
		return nil, fmt.Errorf("%w: this router owns the addresses, %v does not", ErrMessage, from)
	case m.priority != 0 && m.interval == 0:
		return nil, fmt.Errorf("%w: an interval of nothing", ErrMessage)
	}
	switch r.state {
	case Backup:
		return r.receive(m), nil
	case Master:
		return r.challenged(from, m), nil
	}
	return nil, nil
}

// receive is a backup's view of a message.
func (r *Router) receive(m message) []Step {
	switch {
	case m.priority == 0: // the master stops
		return []Step{{Alarm: max(tick, r.skew())}}
	case !r.conf.Preempt || m.priority >= r.conf.Priority:
		r.master = m.interval
		return []Step{{Alarm: r.down()}}
	}
	return nil // a lesser master: it is overtaken when the alarm goes off
}

// challenged is a master's view of a message.
func (r *Router) challenged(from netip.Addr, m message) []Step {
	switch {
	case m.priority == 0:
		return []Step{r.advert(r.conf.Priority), {Alarm: r.conf.Interval}}
	case m.priority > r.conf.Priority || m.priority == r.conf.Priority && from.Compare(r.conf.Self) > 0:
		r.master = m.interval
		return []Step{{Alarm: r.down()}, r.become(Backup)}
	}
	return []Step{r.advert(r.conf.Priority)} // tells the lesser one at once who is master
}
