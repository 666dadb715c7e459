package testutil

import (
	"strings"
	"sync"
)

// LogBuffer collects the output of a program. It is safe for concurrent use.
type LogBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *LogBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns the output so far.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
