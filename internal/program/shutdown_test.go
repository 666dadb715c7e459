package program_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostpier/internal/program"
	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testutil"
	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/eventloop"
)

// setConfig writes a minimal configuration and sets the environment variable that names it.
func setConfig(t *testing.T) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "settings": json.RawMessage(emulator.Settings(emulator.DefaultClasses(), 1, 0, 8)),
		"limits": map[string]any{"cores": runtime.GOMAXPROCS(0), "memory_mb": 1024, "sockets": 256},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("GW_CONFIG", path)
}

// A shutdown must begin before functions that are queued on the event loop. It guards against a gateway that starts to count the time of its
// shutdown only when it has caught up, and is killed before it has answered all requests.
func TestShutdownBeginsBeforeQueuedFunctions(t *testing.T) {
	const slowFunctions, slowFunction = 20, 50 * time.Millisecond
	setConfig(t)
	output := &testutil.LogBuffer{}
	loops := make(chan *eventloop.Loop, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		hooks := program.Hooks{LoopStarted: func(l *eventloop.Loop) { loops <- l }}
		ended <- program.Run(ctx, nil, slog.New(slog.NewTextHandler(output, nil)), hooks)
	}()
	loop := <-loops
	nettest.Eventually(t, "the program to serve", func() bool { return strings.Contains(output.String(), "msg=serving") })
	var stoppingSeen atomic.Bool
	for i := range slowFunctions {
		loop.Post(func() {
			if i == slowFunctions-1 {
				stoppingSeen.Store(strings.Contains(output.String(), "msg=stopping"))
			}
			nettest.WaitOut(t, slowFunction)
		})
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if !stoppingSeen.Load() {
		t.Errorf("the shutdown began after %d queued functions of %v, want before the last of them", slowFunctions, slowFunction)
	}
}
