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
	Logs string `arg:"" type:"existingdir" help:"The folder with the gateways' logs, written with FROSTPIER_DEBUG=1."`
	Out  string `default:"found/fleettest/account" help:"The tables, without an ending."`
}

// attempt is an attempt of a request, with what its gateway knew of the engine when it chose it. Times are in milliseconds.
type attempt struct {
	sentAt       float64
	ownThreads   float64 // in flight at the engine, of the gateway itself
	otherThreads float64 // of all other gateways, as the load reports say
	target       float64 // concurrency target of the engine; 0 = not known
	reportAge    float64 // of the latest load report; below 0 = there was none
	engine       string
	threads      float64 // of the attempt
	window       float64
	utilization  float64
	endedAt      float64 // 0 = not in the logs
	outcome      string
}

// answer is the final answer to a request.
type answer struct {
	at      float64 // milliseconds
	verdict string
}

// account is what the logs of all gateways say together.
type account struct {
	gateways        int
	start           float64 // of the first record, in milliseconds
	attempts        []*attempt
	answered        map[string]int     // by verdict and whether an attempt was made
	rejectedBy      map[string]int     // requests answered without an attempt, by the guard that queued them last
	queuedByGuard   map[string]float64 // seconds
	queuedByClass   map[string]float64 // seconds
	firstQueueTimes []float64          // milliseconds until a request's first attempt
	answers         []answer
	queuedAt        []float64 // time of each record of a queued request
	outcomes        map[string]int
}

func newAccount() *account {
	return &account{
		answered:      map[string]int{},
		rejectedBy:    map[string]int{},
		queuedByGuard: map[string]float64{},
		queuedByClass: map[string]float64{},
		outcomes:      map[string]int{},
	}
}

var errNoRecords = errors.New("no records of decisions: were the gateways started with FROSTPIER_DEBUG=1?")

// Run reads all logs below the folder, prints the tables and writes them to a file. It returns errNoRecords where there is
// no attempt in the logs.
func (c *accountCommand) Run() error {
	a := newAccount()
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

// readFile adds one gateway's log.
func (a *account) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return a.read(file)
}

// logReader reads one gateway's log into an account.
type logReader struct {
	*account
	inFlight map[string]*attempt // attempts without an end, by request and attempt number
	serving  bool                // the log says that the gateway served
}

const (
	maxLogLine = 4 << 20 // bytes

	// queueRecordSeconds is the time between two records of a queued request.
	queueRecordSeconds = 0.1
)

// read adds the log of one gateway; lines that are no records are skipped.
func (a *account) read(log io.Reader) error {
	r := logReader{account: a, inFlight: map[string]*attempt{}}
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
		r.queuedByGuard[record.Fields["why"]] += queueRecordSeconds
		r.queuedByClass[record.Fields["class"]] += queueRecordSeconds
	case "request answered":
		r.addAnswer(at, record)
	}
}

func attemptKey(record testfleet.Record) string {
	return record.Fields["request"] + "/" + record.Fields["attempt"]
}

func (r *logReader) addAttempt(at float64, record testfleet.Record) {
	t := &attempt{
		sentAt:       at,
		ownThreads:   record.Number("own"),
		otherThreads: record.Number("others"),
		target:       record.Number("target"),
		reportAge:    record.Number("age_ms"),
		engine:       record.Fields["engine"],
		threads:      max(1, record.Number("threads")),
		window:       record.Number("window"),
		utilization:  record.Number("strain"),
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
