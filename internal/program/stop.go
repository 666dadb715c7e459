package program

import (
	"context"
	"log/slog"
	"runtime"
	"time"
)

// ended waits for the end of a stop. A loop that hangs must not keep the program past its time: the kill would come,
// and the next start might find the address still in use. The log then says where everything stood.
func ended(ctx context.Context, overdue <-chan time.Time, log *slog.Logger) bool {
	select {
	case <-ctx.Done():
		return true
	case <-overdue:
		stacks := make([]byte, stacksMost)
		log.Error("stopped, though the loop hangs", "stacks", string(stacks[:runtime.Stack(stacks, true)]))
		return false
	}
}

// drain is the planned stop: ping tells at once, connections and requests are still taken for the stated time, all that
// was taken is answered, and the connections are shut in an order in which nothing that came is lost.
func (p *program) drain() {
	p.log.Info("stopping", "open", p.dispatcher.Core.PendingRequests(), "out", p.dispatcher.Core.AttemptsInFlight())
	p.clients.Drain()
	if p.version != nil {
		p.version.serve(false)
	}
	if p.members != nil {
		p.members.Leave() // at once: the others take its part over while it answers what it has taken
	}
	if p.standby != nil {
		p.standby.Stop() // the next master takes the address over while this one answers what it has taken
	}
	p.loop.After(acceptFor, func() {
		if p.mysql != nil {
			p.mysql.StopAccepting()
		}
		p.clients.Stop(p.closeIdleConnections)
	})
	p.loop.After(p.longest+answerIn, p.dispatcher.Close)
	p.loop.After(p.longest+exitIn, p.closeConnections)
	p.loop.After(p.longest+exitIn+closeIn, p.cancel)
}

// closeIdleConnections shuts the connections that rest as soon as nothing is open or out. A request that came on one of them just
// then is answered first, and the rest are looked at again.
func (p *program) closeIdleConnections() {
	p.dispatcher.WhenIdle(func() {
		if p.closeIdle() {
			p.closeConnections()
			return
		}
		p.loop.After(acceptFor/lookShare, p.closeIdleConnections)
	})
}

// lookShare is how many times in the time for accepting the connections are looked at.
const lookShare = 15

// closeIdle shuts the clients' connections that rest, and reports whether that were all of them.
func (p *program) closeIdle() bool {
	all := p.clients.CloseIdle()
	return (p.mysql == nil || p.mysql.CloseIdle()) && all
}

// closeConnections shuts what connections there are, and ends the program when their peers have ended them too.
func (p *program) closeConnections() {
	if p.closing {
		return
	}
	p.closing = true
	p.dispatcher.Close() // where deadlines are short this may be the first time
	p.clients.Finish()
	if p.version != nil {
		p.version.reporter.Stop()
	}
	if p.members != nil {
		p.members.Stop()
	}
	if p.mysql != nil {
		p.mysql.Finish()
	}
	p.clients.WhenEmpty(func() {
		if p.mysql == nil {
			p.cancel()
			return
		}
		p.mysql.WhenEmpty(p.cancel)
	})
	p.loop.After(closeFor, p.cancel)
}
