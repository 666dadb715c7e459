package emulator

import "time"

// Verdict is the result of a request as seen by its client.
type Verdict uint8

// Verdicts of a request.
const (
	Served      Verdict = iota
	Rejected            // rejected without side effects, so that a retry is safe
	Failed              // any other error
	Lost                // the connection closed before an answer
	Corrupted           // answered with a wrong result
	Unanswered          // no answer within answerSlack after the client's timeout
	Unreachable         // the connection to the gateway failed
)

// String returns the name of a verdict in reports.
func (v Verdict) String() string {
	return [...]string{"served", "refused", "failed", "lost", "spoilt", "unanswered", "unreached", ""}[v&7]
}

// Outcome describes how a request ended.
type Outcome struct {
	At               time.Duration // when it was sent, by the clock of the clients
	Gateway          int
	Class            int
	Verdict          Verdict
	Latency          time.Duration
	InTime           bool // served within its latency objective
	DuplicateAnswers int  // answers after the first
}
