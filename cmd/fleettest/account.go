package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"

	"frostpier/internal/testbed/testfleet"
)

type accountCommand struct {
	Logs string `arg:"" type:"existingdir" help:"Directory of the gateways' logs, written with FROSTPIER_DEBUG=1."`
	Out  string `default:"found/fleettest/account" help:"Path of the Markdown file with the tables, without its extension."`
}

// attempt is an attempt of a request, with what its gateway knew about the engine when it chose the engine. Times are in
// milliseconds.
type attempt struct {
	sentAt        float64
	localThreads  float64 // threads in flight at the engine for this gateway
	peerThreads   float64 // threads in flight at the engine for all other gateways, according to the load reports
	target        float64 // concurrency target of the engine; 0 = unknown
	reportAgeMS   float64 // age of the latest load report; negative = there was none
	engine        string
	threads       float64 // threads that an attempt of its class uses
	window        float64 // total threads that the gateway may have in flight
	overloadRatio float64 // estimated load of the fleet, divided by the load above which the window decreases
	endedAt       float64 // 0 = the logs have no end of the attempt
	outcome       string
}

// answer is the final answer to a request.
type answer struct {
	at      float64 // milliseconds
	verdict string
}

// logAnalysis collects the records from the logs of all gateways.
type logAnalysis struct {
	gateways        int
	start           float64 // time of the earliest record, in milliseconds
	attempts        []*attempt
	answered        map[string]int     // number of requests, by verdict and whether an attempt was made
	rejectedBy      map[string]int     // number of requests answered without an attempt, by the guard that last queued them
	queuedByGuard   map[string]float64 // total queueing time in seconds, by guard
	queuedByClass   map[string]float64 // total queueing time in seconds, by class
	firstQueueTimes []float64          // queueing times before first attempts, in milliseconds
	answers         []answer
	queuedAt        []float64      // times of the records of queued requests, in milliseconds
	outcomes        map[string]int // number of attempts, by outcome
}

func newLogAnalysis() *logAnalysis {
	return &logAnalysis{
		answered:      map[string]int{},
		rejectedBy:    map[string]int{},
		queuedByGuard: map[string]float64{},
		queuedByClass: map[string]float64{},
		outcomes:      map[string]int{},
	}
}

var errNoRecords = errors.New("no decision records in the logs: start the gateways with FROSTPIER_DEBUG=1")

// Run reads all logs in the directory and its subdirectories, prints the tables and writes them to a file. It returns
// errNoRecords if there is no attempt in the logs.
func (c *accountCommand) Run() error {
	a := newLogAnalysis()
	err := filepath.WalkDir(c.Logs, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		return a.readFile(path)
	})
	if err != nil {
		return err
	}
	if len(a.attempts) == 0 {
		return errNoRecords
	}
	text := a.report()
	fmt.Print(text)
	if err := os.MkdirAll(filepath.Dir(c.Out), 0o755); err != nil {
		return err
	}
	return os.WriteFile(c.Out+".md", []byte(text), 0o644)
}

// readFile adds the log of one gateway.
func (a *logAnalysis) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return a.read(file)
}

// logReader adds the log of one gateway to a logAnalysis.
type logReader struct {
	*logAnalysis
	inFlight map[string]*attempt // attempts in flight, by request and attempt number
	serving  bool                // whether the log records that the gateway was serving
}

const (
	maxLogLine = 4 << 20 // bytes

	// queueRecordInterval is the time between two records of a queued request, in seconds.
	queueRecordInterval = 0.1
)

// read adds the log of one gateway. Lines that are not log records are skipped.
func (a *logAnalysis) read(log io.Reader) error {
	r := logReader{logAnalysis: a, inFlight: map[string]*attempt{}}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if record, ok := testfleet.ParseRecord(lines.Text()); ok {
			r.add(record)
		}
	}
	if r.serving {
		a.gateways++
	}
	return lines.Err()
}

// add adds one record of the log.
func (r *logReader) add(record testfleet.Record) {
	at := record.Number("at")
	if !math.IsNaN(at) && (r.start == 0 || at < r.start) {
		r.start = at
	}
	switch record.Message {
	case "serving":
		r.serving = true
	case "attempt decided":
		r.addAttempt(at, record)
	case "attempt ended":
		r.endAttempt(at, record)
	case "request held":
		r.queuedAt = append(r.queuedAt, at)
		r.queuedByGuard[record.Fields["why"]] += queueRecordInterval
		r.queuedByClass[record.Fields["class"]] += queueRecordInterval
	case "request answered":
		r.addAnswer(at, record)
	}
}

func attemptKey(record testfleet.Record) string {
	return record.Fields["request"] + "/" + record.Fields["attempt"]
}

func (r *logReader) addAttempt(at float64, record testfleet.Record) {
	t := &attempt{
		sentAt:        at,
		localThreads:  record.Number("own"),
		peerThreads:   record.Number("others"),
		target:        record.Number("target"),
		reportAgeMS:   record.Number("age_ms"),
		engine:        record.Fields["engine"],
		threads:       max(1, record.Number("threads")),
		window:        record.Number("window"),
		overloadRatio: record.Number("strain"),
	}
	r.attempts = append(r.attempts, t)
	r.inFlight[attemptKey(record)] = t
	if record.Fields["attempt"] == "0" {
		r.firstQueueTimes = append(r.firstQueueTimes, record.Number("held_ms"))
	}
}

func (r *logReader) endAttempt(at float64, record testfleet.Record) {
	outcome := record.Fields["outcome"]
	r.outcomes[outcome]++
	key := attemptKey(record)
	if t := r.inFlight[key]; t != nil {
		t.endedAt, t.outcome = at, outcome
		delete(r.inFlight, key)
	}
}

func (r *logReader) addAnswer(at float64, record testfleet.Record) {
	verdict := [...]string{"served", "refused", "failed", "broken"}[int(record.Number("verdict"))&3]
	if record.Fields["attempts"] == "0" {
		verdict += " with no attempt"
		r.rejectedBy[record.Fields["why"]]++
	}
	r.answered[verdict]++
	r.answers = append(r.answers, answer{at, verdict})
}
