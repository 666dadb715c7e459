package driver

import (
	"log/slog"

	"frostpier/internal/control/subset"
	"frostpier/internal/transport/eventloop"
)

// Driver runs an Updater on a gateway's loop. All calls come from the loop.
type Driver struct {
	*Updater
	loop  *eventloop.Loop
	timer *eventloop.Timer
}

// NewDriver prepares an Updater that is off. Start has to be called before anything else.
func NewDriver(place Place, loop *eventloop.Loop, engines Engines, log *slog.Logger) *Driver {
	return &Driver{Updater: New(place, engines, log), loop: loop}
}

// Start applies the first configuration; nil leaves subsets off until Configure.
func (d *Driver) Start(members Members, config *subset.Config) {
	d.Updater.Start(d.loop.Now(), members, config)
	d.schedule()
}

// Configure changes the configuration; nil turns subsetting off.
func (d *Driver) Configure(config *subset.Config) {
	d.Updater.Configure(d.loop.Now(), config)
	d.schedule()
}

// schedule plans the next update, if there is to be one.
func (d *Driver) schedule() {
	d.timer.Stop()
	if !d.On() {
		return
	}
	d.timer = d.loop.After(Interval, func() {
		d.Tick(d.loop.Now())
		d.schedule()
	})
}
