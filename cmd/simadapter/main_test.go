package main

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"frostpier/internal/testbed/simproto"
)

const settingsJSON = `{"classes":[{"name":"q","objective":1000000000,"give_up":5000000000,"repeat":"retryable",
"worth":1,"surprise":[1]}],"siblings":1,"tick":5000000,"models":["m"],"zones":["z"],"novelty":{"a":1},
"family_info":{"cores_by_kind":[4],"threads_by_class":[1]},"report":{"fields":["util","odd"],"via":"answers"}}`

func startInstance(settings string) simproto.Record {
	return &simproto.StartInstance{Instance: 3, Seed: 1, Settings: []byte(settings)}
}

func batch(now uint64, events ...simproto.Record) []byte {
	return simproto.AppendBatch(nil, simproto.Batch{Now: now, Events: events})
}

// runFrames runs the adapter on the frames and returns the actions of all replies and the error of run.
func runFrames(t *testing.T, frames ...[]byte) ([]simproto.Record, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(bytes.NewReader(bytes.Join(frames, nil)), &out)
	var actions []simproto.Record
	for out.Len() > 0 {
		reply, readErr := simproto.ReadReply(&out)
		if readErr != nil {
			t.Fatalf("invalid reply: %v", readErr)
		}
		actions = append(actions, reply...)
	}
	return actions, err
}

var engine = simproto.EngineID{IP: [4]byte{10, 1, 2, 3}, Port: 8080}

// startBatch returns a batch that starts instance 3 with one engine.
func startBatch() []byte {
	return batch(1, startInstance(settingsJSON),
		&simproto.EngineList{Entries: []simproto.EngineEntry{{Engine: engine}}},
		&simproto.EngineListChanged{Instance: 3, Kind: 1})
}

func request(id uint32) *simproto.RequestArrived {
	return &simproto.RequestArrived{Instance: 3, Request: id, Remaining: 5e9, TableGroup: float32(math.NaN())}
}

// Checks that a request to a started instance is sent to the engine in its list.
func TestRunSendsRequestToListedEngine(t *testing.T) {
	actions, err := runFrames(t, startBatch(), batch(2, request(9)))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range actions {
		if s, ok := a.(*simproto.SendAttempt); ok && s.Engine == engine && s.Request == 9 && s.Instance == 3 {
			return
		}
	}
	t.Fatalf("request 9 was not sent to the engine: %+v", actions)
}

// Checks that malformed frames and invalid settings end run with an error of the right kind, and without an action.
func TestRunRejectsMalformedInput(t *testing.T) {
	var (
		invalid   *settingsError
		limit     *simproto.LimitError
		unknown   *unknownListKindError
		badRepeat = strings.Replace(settingsJSON, "retryable", "maybe", 1)
	)
	for _, c := range []struct {
		name  string
		frame []byte
		want  any // target of errors.As; nil: ErrMalformedFrame
	}{
		{"truncated frame", startBatch()[:40], nil},
		{"malformed settings", batch(1, startInstance("{")), &invalid},
		{"no classes", batch(1, startInstance("{}")), &invalid},
		{"unknown value of repeat", batch(1, startInstance(badRepeat)), &invalid},
		{"EngineList number out of range", batch(1, &simproto.EngineList{Number: 16}), &limit},
		{"EngineListChanged number out of range",
			batch(1, startInstance(settingsJSON), &simproto.EngineListChanged{Instance: 3, List: 77, Kind: 1}), &limit},
		{"unknown list kind", batch(1, startInstance(settingsJSON), &simproto.EngineListChanged{Instance: 3, Kind: 9}), &unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			actions, err := runFrames(t, c.frame)
			matched := errors.Is(err, simproto.ErrMalformedFrame)
			if c.want != nil {
				matched = errors.As(err, c.want)
			}
			if !matched || len(actions) > 0 {
				t.Errorf("%d actions, error %v, want no action and an error of the kind in want", len(actions), err)
			}
		})
	}
}

// Checks that events with unknown IDs, unsupported kinds or values such as NaN, and repeated events, neither fail nor
// affect other requests.
func TestRunIgnoresUnexpectedEvents(t *testing.T) {
	nan := simproto.LoadReport{Count: 2, Values: [4]float32{float32(math.NaN()), float32(math.Inf(1))}}
	actions, err := runFrames(t, startBatch(), batch(2,
		&simproto.AttemptEnded{Instance: 3, Request: 5}, &simproto.AttemptEnded{Instance: 44, Request: 5}, &simproto.TimerFired{Instance: 3, Token: 12},
		&simproto.ClientGone{Instance: 3, Request: 77}, &simproto.PeerMessage{Instance: 3}, &simproto.Progress{Instance: 3, Kind: 2},
		&simproto.ResponseStarted{Instance: 3, Request: 8}, &simproto.HealthCheckEnded{Instance: 3, Engine: simproto.EngineID{}, Outcome: 100},
		request(9), request(9),
		&simproto.AttemptEnded{Instance: 3, Request: 9, Engine: engine, Outcome: 100, Terminal: 1, Duration: 1e6, Report: nan},
		&simproto.AttemptEnded{Instance: 3, Request: 9, Engine: engine, Outcome: 301}, request(10)))
	if err != nil {
		t.Fatal(err)
	}
	sent := map[uint32]int{}
	for _, a := range actions {
		if s, ok := a.(*simproto.SendAttempt); ok {
			sent[s.Request]++
		}
	}
	if sent[9] != 1 || sent[10] != 1 {
		t.Fatalf("attempts per request: %v, want one for 9 and one for 10", sent)
	}
}

// Checks that a stopped instance ignores requests. The instance is also stopped and started again within one batch.
func TestRunIgnoresRequestsOfStoppedInstance(t *testing.T) {
	actions, err := runFrames(t, startBatch(), batch(2, request(9)), batch(3, &simproto.StopInstance{Instance: 3}, startInstance(settingsJSON),
		&simproto.EngineList{Entries: []simproto.EngineEntry{{Engine: engine}}}, &simproto.EngineListChanged{Instance: 3, Kind: 1}, request(10)),
		batch(4, &simproto.StopInstance{Instance: 3}), batch(5, request(11)))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range actions {
		if s, ok := a.(*simproto.SendAttempt); ok && s.Request == 11 {
			t.Fatal("a stopped instance sent an attempt")
		}
	}
}
