package program

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"frostpier/internal/settings"
)

// Durations of the steps of a graceful shutdown. The platform opens new connections for up to 0.4 s after SIGTERM, and sends
// requests for 0.2 s more. It kills the process 0.7 s after the shutdown deadline: the longest deadline of a class, but at
// most 3 s.
const (
	acceptDuration      = 750 * time.Millisecond // after SIGTERM: connections and requests are still accepted
	maxShutdownDeadline = 3 * time.Second        // upper bound of the shutdown deadline
	replyGrace          = 200 * time.Millisecond // after the shutdown deadline: pending requests get their replies, new ones are rejected
	closeGrace          = 450 * time.Millisecond // after the shutdown deadline: all connections are closed
	peerCloseGrace      = 150 * time.Millisecond // after closeGrace: the program exits even if peers have not closed their side
	peerCloseTimeout    = 500 * time.Millisecond // time for peers to close their side if connections are closed before closeGrace ends
	hangGrace           = 50 * time.Millisecond  // after peerCloseGrace: the program exits even if the event loop hangs

	idleCheckInterval = 50 * time.Millisecond  // time between two checks for idle connections
	minIdleTime       = 250 * time.Millisecond // idle time before a connection is closed, since its next request may be in transit

	maxStackBytes = 64 << 10 // limit of the stacks that are logged if the event loop hangs
)

// shutdownDeadline returns the longest deadline of a class, but at most maxShutdownDeadline, as the platform computes it.
func shutdownDeadline(host settings.Host) time.Duration {
	longest := time.Duration(0)
	for _, c := range host.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxShutdownDeadline)
}

// waitForShutdown waits until the shutdown is complete, and reports whether that was before overdue fired. If the event loop
// hangs, it logs the stacks, which show where, and returns. The process would otherwise be killed, and the next process might
// find the address in use.
func waitForShutdown(ctx context.Context, overdue <-chan time.Time, log *slog.Logger) bool {
	select {
	case <-ctx.Done():
		return true
	case <-overdue:
		stacks := make([]byte, maxStackBytes)
		stacks = stacks[:runtime.Stack(stacks, true)]
		log.Error("shutdown overdue, exiting: the event loop hangs", "stacks", string(stacks))
		return false
	}
}

// gracefulShutdown starts the shutdown that began at the given time of the loop. It announces the shutdown at once, and
// schedules the next steps: connections and requests are accepted for acceptDuration, each accepted request gets its reply, and
// connections are closed in an order that loses no received data.
func (p *program) gracefulShutdown(began time.Duration) {
	p.log.Info("stopping", "open", p.dispatcher.Core.PendingRequests(), "out", p.dispatcher.Core.AttemptsInFlight())
	p.platform.Drain()
	if p.reporter != nil {
		p.reporter.setServing(false)
	}
	if p.membership != nil {
		p.membership.Leave() // leave at once, so that the other gateways take over while this one still replies
	}
	if p.vrrp != nil {
		p.vrrp.Stop() // stop at once, so that the next master takes over the address
	}
	at := func(sinceBegan time.Duration, step func()) {
		p.loop.AfterWithPriority(began+sinceBegan-p.loop.Now(), step)
	}
	at(acceptDuration, p.stopAccepting)
	at(p.shutdownDeadline+replyGrace, p.dispatcher.Close)
	at(p.shutdownDeadline+closeGrace, p.closeConnections)
	at(p.shutdownDeadline+closeGrace+peerCloseGrace, p.exit)
}

// stopAccepting closes the listeners. Afterwards, each connection is closed with its last response or once it is idle for
// minIdleTime.
func (p *program) stopAccepting() {
	if p.mysql != nil {
		p.mysql.StopAccepting()
		p.mysql.CloseAfterResponses()
	}
	p.platform.CloseAfterResponses()
	p.platform.Stop(p.closeIdleConnections)
}

// closeIdleConnections closes idle connections every idleCheckInterval until no connection is open. Then the shutdown ends as
// soon as no attempt is in flight.
func (p *program) closeIdleConnections() {
	if p.closeIdle() {
		p.dispatcher.OnIdle(p.closeConnections)
		return
	}
	p.loop.After(idleCheckInterval, p.closeIdleConnections)
}

// closeIdle closes the client connections that have been idle for minIdleTime, and reports whether all connections are closed.
func (p *program) closeIdle() bool {
	all := p.platform.CloseIdle(minIdleTime)
	return (p.mysql == nil || p.mysql.CloseIdle(minIdleTime)) && all
}

// closeConnections closes the remaining connections, and exits once the peers have closed their side or peerCloseTimeout has
// passed.
func (p *program) closeConnections() {
	if p.closing {
		return
	}
	p.closing = true
	p.dispatcher.Close() // may not have been called yet if all connections were idle before replyGrace ended
	p.platform.Shutdown()
	if p.reporter != nil {
		p.reporter.sender.Stop()
	}
	if p.membership != nil {
		p.membership.Stop()
	}
	if p.mysql != nil {
		p.mysql.Shutdown()
	}
	p.platform.OnEmpty(p.exitWhenMySQLEmpty)
	p.loop.After(peerCloseTimeout, p.exit)
}

// exitWhenMySQLEmpty exits once the MySQL frontend has no connections, or at once if it is off.
func (p *program) exitWhenMySQLEmpty() {
	if p.mysql == nil {
		p.exit()
		return
	}
	p.mysql.OnEmpty(p.exit)
}
