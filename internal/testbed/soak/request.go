package soak

import (
	"fmt"
	"sync"
	"time"
)

// Outcome is how a request ended, as its client saw it.
type Outcome uint8

// Ends of a request.
const (
	Open       Outcome = iota // not ended
	Served                    // with the result that an engine made for it
	Rejected                  // without effect: a retry is harmless
	Failed                    // any other error
	Aborted                   // by its client: no answer is owed
	RacedClose                // the connection's end crossed it, and no engine got it: the client sends it elsewhere
	CutByKill                 // unanswered at the kill, and sent too late to be owed an answer by then
	Lost                      // the connection ended without an answer
	LostAtKill                // unanswered at the kill, though sent early enough
	Late                      // answered over answerSlack after its deadline
	Corrupted                 // answered with what no engine made for it, or with what cannot be read
	ends                      // their number
)

// String names an end.
func (e Outcome) String() string {
	return [...]string{"open", "served", "rejected", "failed", "aborted", "crossed", "cut by kill", "lost", "lost at kill", "late",
		"corrupted"}[e]
}

// IsViolation reports whether an end breaks the rule that each accepted request gets one whole answer in time.
func (e Outcome) IsViolation() bool { return e == Open || e >= Lost }

// answerSlack is how long after its deadline an answer only earns nothing; a later one counts as lost.
const answerSlack = 500 * time.Millisecond

// Request is one request of a client.
type Request struct {
	Gateway       int
	Client        int
	Number        int // on its connection, from 1
	MySQL         bool
	ID            string        // by which engines know it
	Class         string        // of the query
	Budget        time.Duration // in which its client wants the answer
	IsRejected    bool          // engines reject its statement whenever they get it
	Sent          time.Duration // its last byte, since the clients' start
	SentAfterTerm time.Duration // SIGTERM; negative before it
	Latency       time.Duration // until its end
	Outcome       Outcome
	Duplicates    int // answers after the first

	crossed bool // the connection's end was there within crossingWindow of its sending
}

// String describes a request in a line.
func (r Request) String() string {
	front := "platform"
	if r.MySQL {
		front = "mysql"
	}
	return fmt.Sprintf("%s: %s request %s (%s, number %d of its connection, client %d of gateway %d), sent %d ms after SIGTERM, ended %.2f ms later, "+
		"%d further answers", r.Outcome, front, r.ID, r.Class, r.Number, r.Client, r.Gateway, r.SentAfterTerm.Milliseconds(),
		float64(r.Latency.Microseconds())/1000, r.Duplicates)
}

// recorder keeps all requests of a run. Its methods may be called by several goroutines.
type recorder struct {
	mu       sync.Mutex
	requests []*Request
}

func (r *recorder) add(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
}
