package program_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"frostpier/internal/program"
	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/eventloop"
)

// syncBuffer is a log output that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

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
	output := &syncBuffer{}
	loops := make(chan *eventloop.Loop, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		hooks := program.Hooks{LoopStarted: func(l *eventloop.Loop) { loops <- l }}
		ended <- program.Run(ctx, nil, slog.New(slog.NewTextHandler(output, nil)), hooks)
	}()
	loop := <-loops
	nettest.Eventually(t, "the program to serve", func() bool { return output.contains("msg=serving") })
	var stoppingSeen atomic.Bool
	for i := range slowFunctions {
		loop.Post(func() {
			if i == slowFunctions-1 {
				stoppingSeen.Store(output.contains("msg=stopping"))
			}
			end := time.Now().Add(slowFunction)
			nettest.Eventually(t, "the pause to end", func() bool { return time.Now().After(end) })
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
