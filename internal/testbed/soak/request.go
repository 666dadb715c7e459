package soak

import (
	"fmt"
	"sync"
	"time"
)

// Outcome is the outcome of a request as seen by its client.
type Outcome uint8

// Outcomes of a request.
const (
	Open       Outcome = iota // still unanswered
	Served                    // answered with the result that an engine returned for it
	Rejected                  // rejected before it had any effect, so that a retry is safe
	Failed                    // answered with any other error
	Aborted                   // aborted by its client, so that no answer is required
	RacedClose                // sent while the gateway closed the connection, and received by no engine: the client retries on another gateway
	CutByKill                 // unanswered at SIGKILL, and sent too late for an answer to be required
	Lost                      // the connection was closed without an answer
	LostAtKill                // unanswered at SIGKILL although it was sent early enough to be answered
	Late                      // answered more than answerSlack after its deadline
	Corrupted                 // answered with a wrong result or an unreadable answer
	numOutcomes
)

// String returns the name used in reports. For RacedClose it is the name of its column in the table of results.
func (o Outcome) String() string {
	return [...]string{"open", "served", "rejected", "failed", "aborted", "crossed", "cut by kill", "lost", "lost at kill", "late",
		"corrupted"}[o]
}

// IsViolation reports whether the outcome violates the requirement that each accepted request gets one complete answer in time.
func (o Outcome) IsViolation() bool { return o == Open || o >= Lost }

// answerSlack is how long after the deadline an answer is tolerated. Such an answer is of no use to the platform, but only one
// that arrives even later is a violation, as a missing answer is.
const answerSlack = 500 * time.Millisecond

// Request is one request of a client.
type Request struct {
	Gateway       int // index
	Client        int // index over all gateways
	Number        int // position on its connection, from 1; the JSON-RPC id
	MySQL         bool
	ID            string        // identifies the request at the engines
	Class         string        // class of the query
	Budget        time.Duration // time in which its client expects the answer
	IsRejected    bool          // every engine rejects its statement
	Sent          time.Duration // when its last byte was sent, since the start of the clients
	SentAfterTerm time.Duration // when it was sent, relative to SIGTERM; negative before SIGTERM
	Latency       time.Duration // time from sending to the outcome
	Outcome       Outcome
	Duplicates    int // number of answers after the first

	racedClose bool // the gateway closed the connection less than closeRaceWindow after the request was sent
}

// String describes a request in one line.
func (r Request) String() string {
	protocol := "platform"
	if r.MySQL {
		protocol = "mysql"
	}
	return fmt.Sprintf("%s: %s request %s (class %s, number %d on its connection, client %d of gateway %d), sent %d ms after SIGTERM, "+
		"finished %.2f ms later, %d duplicate answers", r.Outcome, protocol, r.ID, r.Class, r.Number, r.Client, r.Gateway, r.SentAfterTerm.Milliseconds(),
		float64(r.Latency.Microseconds())/1000, r.Duplicates)
}

// recorder collects all requests of a run. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	requests []*Request
}

func (r *recorder) add(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
}
