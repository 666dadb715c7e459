package main

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"frostpier/internal/settings"
	"frostpier/policy"
)

// Guards against dials that fail for want of a descriptor, which look like engines that cannot be reached: clients
// and engines, the urgent calls included, once had more than there are where the limit is 256.
func TestSharesStayBelowTheLimit(t *testing.T) {
	for _, sockets := range []int{256, 384, 512, 1024} {
		for _, withMySQL := range []bool{false, true} {
			s := divide(sockets, withMySQL)
			sum := spare
			for _, share := range []struct{ Most, Urgent int }{s.clients, s.engines, s.mysqlClients, s.mysqlEngines} {
				sum += share.Most + share.Urgent
			}
			if sum > sockets || s.engines.Most < sockets/6 || s.engines.Urgent < 1 || s.clients.Most < sockets/5 {
				t.Errorf("%d descriptors: %+v, %d in all", sockets, s, sum)
			}
		}
	}
}

// Guards against a stop that the kill overtakes: where deadlines are short it comes sooner.
func TestStopEndsBeforeTheKill(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{time.Second: time.Second, 20 * time.Second: 3 * time.Second} {
		host := settings.Host{Module: policy.Settings{Classes: []policy.Class{{Deadline: time.Millisecond}, {Deadline: deadline}}}}
		if got := longest(host); got != want {
			t.Errorf("a deadline of %v counts as %v", deadline, got)
		}
	}
}

// Guards against a stop that a hanging loop keeps for ever: seen on a day of bad clients, where the program went silent
// in a planned stop, was killed, and its next start found the address in use. It ends, and says where all stood.
func TestStopEndsThoughTheLoopHangs(t *testing.T) {
	text := &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(text, nil))
	late := make(chan time.Time, 1)
	late <- time.Time{}
	if ended(context.Background(), late, log) || !strings.Contains(text.String(), "goroutine") {
		t.Errorf("a loop that hangs: %s", text)
	}
	text.Reset()
	done, cancel := context.WithCancel(context.Background())
	cancel()
	if !ended(done, nil, log) || text.Len() > 0 {
		t.Errorf("a loop that has ended: %s", text)
	}
}
