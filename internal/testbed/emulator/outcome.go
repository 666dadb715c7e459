package emulator

import "time"

// Verdict is the result of a request, as its client saw it.
type Verdict uint8

// Verdicts of a request.
const (
	Served      Verdict = iota
	Rejected            // rejected without effect: a retry is harmless
	Failed              // any other error
	Lost                // the connection ended without an answer
	Corrupted           // answered with a result that no engine made for it
	Unanswered          // no answer until answerSlack after the client's timeout
	Unreachable         // no gateway accepted a connection
)

// String names a verdict.
func (v Verdict) String() string {
	return [...]string{"served", "refused", "failed", "lost", "spoilt", "unanswered", "unreached", ""}[v&7]
}

// Outcome is how a request ended.
type Outcome struct {
	At               time.Duration // when it was sent, by the clients' clock
	Gateway          int
	Class            int
	Verdict          Verdict
	Latency          time.Duration
	InTime           bool // served within its latency objective
	DuplicateAnswers int  // answers after the first
}
