package subsetdriver

import (
	"log/slog"

	"frostpier/internal/control/subset"
	"frostpier/internal/transport/eventloop"
)

// Driver runs an Updater on a gateway's event loop. All calls have to come from the loop.
type Driver struct {
	*Updater
	loop  *eventloop.Loop
	timer *eventloop.Timer
}

// NewDriver returns a Driver whose Updater is off. Start has to be called before anything else.
func NewDriver(place Location, loop *eventloop.Loop, engines Dispatcher, log *slog.Logger) *Driver {
	return &Driver{Updater: New(place, engines, log), loop: loop}
}

// Start applies the first configuration; nil leaves subsets off until Configure.
func (d *Driver) Start(members Membership, config *subset.Config) {
	d.Updater.Start(d.loop.Now(), members, config)
	d.schedule()
}

// Configure changes the configuration; nil turns subsets off. An invalid configuration is logged and changes nothing.
func (d *Driver) Configure(config *subset.Config) {
	d.Updater.Configure(d.loop.Now(), config)
	d.schedule()
}

// schedule sets the timer of the next update, if subsets are on.
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
