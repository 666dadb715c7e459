package subsetdriver

import (
	"log/slog"

	"frostpier/internal/control/subset"
	"frostpier/internal/transport/eventloop"
)

// Driver runs an Updater on a gateway's event loop. All calls must come from this loop.
type Driver struct {
	*Updater
	loop  *eventloop.Loop
	timer *eventloop.Timer
}

// NewDriver returns a Driver with subsets disabled. Start must be called before any other method.
func NewDriver(location Location, loop *eventloop.Loop, dispatcher Dispatcher, log *slog.Logger) *Driver {
	return &Driver{Updater: New(location, dispatcher, log), loop: loop}
}

// Start applies the initial configuration. If it is nil, subsets are disabled until Configure enables them.
func (d *Driver) Start(members Membership, config *subset.Config) {
	d.Updater.Start(d.loop.Now(), members, config)
	d.schedule()
}

// Configure replaces the configuration. A nil configuration disables subsets. An invalid one is logged and changes nothing.
func (d *Driver) Configure(config *subset.Config) {
	d.Updater.Configure(d.loop.Now(), config)
	d.schedule()
}

// schedule sets the timer for the next update if subsets are enabled.
func (d *Driver) schedule() {
	d.timer.Stop()
	if !d.Enabled() {
		return
	}
	d.timer = d.loop.After(Interval, func() {
		d.Tick(d.loop.Now())
		d.schedule()
	})
}
