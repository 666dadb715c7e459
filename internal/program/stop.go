package program

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"frostpier/internal/settings"
)

// Times of a graceful shutdown. The platform opens new connections for 0.4 s after SIGTERM and sends requests for 0.2 s
// more. It kills the process 0.7 s after the longest deadline of a class, which it counts as 3 s where it is longer.
const (
	acceptDuration   = 750 * time.Millisecond // connections and requests are accepted for so long
	maxStopDeadline  = 3 * time.Second        // the longest deadline that a shutdown waits for
	replyGrace       = 200 * time.Millisecond // after the deadline: pending requests get their replies, new ones are rejected
	closeGrace       = 450 * time.Millisecond // after the deadline: all connections are closed
	peerCloseGrace   = 150 * time.Millisecond // after closeGrace: the program exits even if peers keep their side open
	peerCloseTimeout = 500 * time.Millisecond // for peers to close their side where the shutdown is early
	hangGrace        = 50 * time.Millisecond  // after peerCloseGrace: the program exits even if the event loop hangs

	idleCheckInterval = 50 * time.Millisecond  // between two looks for idle connections
	idleBeforeClose   = 250 * time.Millisecond // of a connection without a response on the way: its next request may be

	maxStackBytes = 64 << 10 // of the stacks that are logged if the event loop hangs
)

// stopDeadline returns the longest deadline of a class, as the platform counts it for a shutdown.
func stopDeadline(host settings.Host) time.Duration {
	longest := time.Duration(0)
	for _, c := range host.Module.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxStopDeadline)
}

// waitStopped waits for the end of a shutdown, and reports whether it came before overdue. A hanging event loop must not
// keep the process alive: it would be killed, and its successor might find the address in use. The stacks are logged, to
// tell where it hangs.
func waitStopped(ctx context.Context, overdue <-chan time.Time, log *slog.Logger) bool {
	select {
	case <-ctx.Done():
		return true
	case <-overdue:
		stacks := make([]byte, maxStackBytes)
		stacks = stacks[:runtime.Stack(stacks, true)]
		log.Error("stopped, though the loop hangs", "stacks", string(stacks))
		return false
	}
}

// gracefulShutdown announces the shutdown at once, still accepts connections and requests for acceptDuration, gives every
// accepted request its reply, and closes the connections in an order in which no received byte is lost.
func (p *program) gracefulShutdown() {
	p.log.Info("stopping", "open", p.dispatcher.Core.PendingRequests(), "out", p.dispatcher.Core.AttemptsInFlight())
	p.clients.Drain()
	if p.version != nil {
		p.version.setServing(false)
	}
	if p.membership != nil {
		p.membership.Leave() // at once, so that the others take over while this gateway still replies
	}
	if p.vrrp != nil {
		p.vrrp.Stop() // likewise: the next master takes over the address
	}
	p.loop.After(acceptDuration, p.stopAccepting)
	p.loop.After(p.maxDeadline+replyGrace, p.dispatcher.Close)
	p.loop.After(p.maxDeadline+closeGrace, p.closeConnections)
	p.loop.After(p.maxDeadline+closeGrace+peerCloseGrace, p.exit)
}

// stopAccepting closes the listeners, and then each connection with its last response or when it has been idle.
func (p *program) stopAccepting() {
	if p.mysql != nil {
		p.mysql.StopAccepting()
		p.mysql.CloseAfterResponses()
	}
	p.clients.CloseAfterResponses()
	p.clients.Stop(p.closeIdleConnections)
}

// closeIdleConnections closes the connections that have been idle, again and again until none is open. The shutdown ends
// once no attempt is in flight then.
func (p *program) closeIdleConnections() {
	if p.closeIdle() {
		p.dispatcher.OnIdle(p.closeConnections)
		return
	}
	p.loop.After(idleCheckInterval, p.closeIdleConnections)
}

// closeIdle closes the connections of clients that have been idle, and reports whether none is left open.
func (p *program) closeIdle() bool {
	all := p.clients.CloseIdle(idleBeforeClose)
	return (p.mysql == nil || p.mysql.CloseIdle(idleBeforeClose)) && all
}

// closeConnections closes the remaining connections, and exits once their peers have closed their side too.
func (p *program) closeConnections() {
	if p.closing {
		return
	}
	p.closing = true
	p.dispatcher.Close() // if all deadlines are short, this comes before replyGrace ends
	p.clients.Shutdown()
	if p.version != nil {
		p.version.sender.Stop()
	}
	if p.membership != nil {
		p.membership.Stop()
	}
	if p.mysql != nil {
		p.mysql.Shutdown()
	}
	p.clients.OnEmpty(p.exitWhenMySQLEmpty)
	p.loop.After(peerCloseTimeout, p.exit)
}

// exitWhenMySQLEmpty exits once the MySQL frontend, if there is one, has no connections.
func (p *program) exitWhenMySQLEmpty() {
	if p.mysql == nil {
		p.exit()
		return
	}
	p.mysql.OnEmpty(p.exit)
}
