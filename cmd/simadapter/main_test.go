package main

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"frostpier/internal/testbed/simproto"
)

const plainSetup = `{"classes":[{"name":"q","objective":1000000000,"give_up":5000000000,"repeat":"retryable",
"worth":1,"surprise":[1]}],"siblings":1,"tick":5000000,"models":["m"],"zones":["z"],"novelty":{"a":1},
"family_info":{"cores_by_kind":[4],"threads_by_class":[1]},"report":{"fields":["util","odd"],"via":"answers"}}`

func up(setup string) simproto.Record { return &simproto.Up{Inst: 3, Seed: 1, Setup: []byte(setup)} }

func batch(now uint64, events ...simproto.Record) []byte {
	return simproto.AppendBatch(nil, simproto.Batch{Now: now, Events: events})
}

func play(t *testing.T, frames ...[]byte) ([]simproto.Record, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(bytes.NewReader(bytes.Join(frames, nil)), &out)
	var actions []simproto.Record
	for out.Len() > 0 {
		reply, readErr := simproto.ReadReply(&out)
		if readErr != nil {
			t.Fatalf("partial reply: %v", readErr)
		}
		actions = append(actions, reply...)
	}
	return actions, err
}

var engine = simproto.EngineID{IP: [4]byte{10, 1, 2, 3}, Port: 8080}

func start() []byte {
	return batch(1, up(plainSetup), &simproto.Table{Entries: []simproto.Entry{{Engine: engine}}}, &simproto.Announce{Inst: 3, How: 1})
}

func work(id uint32) *simproto.WorkItem {
	return &simproto.WorkItem{Inst: 3, Request: id, Remaining: 5e9, Tables: float32(math.NaN())}
}

func TestRequestIsDispatchedToTheListedEngine(t *testing.T) {
	actions, err := play(t, start(), batch(2, work(9)))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range actions {
		if d, ok := a.(*simproto.Dispatch); ok && d.Engine == engine && d.Request == 9 && d.Inst == 3 {
			return
		}
	}
	t.Fatalf("no dispatch in %+v", actions)
}

func TestMalformedInputEndsWithAnError(t *testing.T) {
	for name, frame := range map[string][]byte{
		"cut short": start()[:40], "settings": batch(1, up("{")), "no classes": batch(1, up("{}")),
		"effect":      batch(1, up(strings.Replace(plainSetup, "retryable", "maybe", 1))),
		"list number": batch(1, up(plainSetup), &simproto.Announce{Inst: 3, Bank: 77, How: 1}),
		"list form":   batch(1, up(plainSetup), &simproto.Announce{Inst: 3, How: 9}),
	} {
		if actions, err := play(t, frame); err == nil || len(actions) > 0 {
			t.Errorf("%s: %d actions, error %v", name, len(actions), err)
		}
	}
}

// Odd but legal events change nothing that they should not.
func TestOddEventsAreSurvived(t *testing.T) {
	nan := simproto.Load{N: 2, Values: [4]float32{float32(math.NaN()), float32(math.Inf(1))}}
	actions, err := play(t, start(), batch(2,
		&simproto.Done{Inst: 3, Request: 5}, &simproto.Done{Inst: 44, Request: 5}, &simproto.Due{Inst: 3, Token: 12},
		&simproto.Vanished{Inst: 3, Request: 77}, &simproto.Whisper{Inst: 3}, &simproto.Heartbeat{Inst: 3, Kind: 2},
		&simproto.Flowing{Inst: 3, Request: 8}, &simproto.CheckResult{Inst: 3, Engine: simproto.EngineID{}, Ending: 100},
		work(9), work(9),
		&simproto.Done{Inst: 3, Request: 9, Engine: engine, Ending: 100, Terminal: 1, Took: 1e6, Load: nan},
		&simproto.Done{Inst: 3, Request: 9, Engine: engine, Ending: 301}, work(10)))
	if err != nil {
		t.Fatal(err)
	}
	sent := map[uint32]int{}
	for _, a := range actions {
		if d, ok := a.(*simproto.Dispatch); ok {
			sent[d.Request]++
		}
	}
	if sent[9] != 1 || sent[10] != 1 {
		t.Fatalf("sends %v", sent)
	}
}

func TestTeardownAndNewStartShareABatch(t *testing.T) {
	actions, err := play(t, start(), batch(2, work(9)), batch(3, &simproto.Teardown{Inst: 3}, up(plainSetup),
		&simproto.Table{Entries: []simproto.Entry{{Engine: engine}}}, &simproto.Announce{Inst: 3, How: 1}, work(10)),
		batch(4, &simproto.Teardown{Inst: 3}), batch(5, work(11)))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range actions {
		if d, ok := a.(*simproto.Dispatch); ok && d.Request == 11 {
			t.Fatal("an instance that was torn down acted")
		}
	}
}
