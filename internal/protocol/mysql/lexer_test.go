package mysql

import (
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// longStatements are statements of the largest size that repeat a part which is costly where the rest of a text is copied or searched
// for each part.
func longStatements() map[string]string {
	statements := map[string]string{}
	for name, part := range map[string]string{
		"empty comment lines": "#\n", "dash comments": "-- x\n", "comments": "/**/", "executable comments": "/*!*/",
		"open executable comments": "/*!99999", "open comments": "/* ", "open quotes": "'", "backquotes": "`a", "escapes": "'\\", "dashes": "-", "words": "a ",
		"placeholders": "?",
	} {
		statements[name] = "SELECT 1 " + strings.Repeat(part, maxCommandSize/len(part)-10)
	}
	return statements
}

// A long statement is read without copying its rest for each part, which would take quadratic time. A prepared statement of 1 MB of
// empty comment lines took about 100 s, in which the event loop answered no client.
func TestLongStatementsAreNotCopiedForEachPart(t *testing.T) {
	const maxCopies = 16 // of the statement, by two commands
	for name, text := range longStatements() {
		t.Run(name, func(t *testing.T) {
			conn := newServerConn(t)
			conn.Received(loginBytes(t))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			conn.Received(commandPacket(comStmtPrepare, []byte(text)))
			conn.Received(commandPacket(comQuery, []byte(text)))
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(maxCopies*len(text)) {
				t.Errorf("a statement of %d bytes allocated %d bytes, want at most %d times its length", len(text), allocated, maxCopies)
			}
		})
	}
}

// The tokens of a statement are parts of it, in order, and every statement ends.
func TestTokensArePartsOfStatement(t *testing.T) {
	parts := []string{"'", "\"", "`", "\\", "/*", "/*!", "/*!40101", "/*M!", "*/", "--", "-- ", "#", "\n", " ", "a", "?", "@", ";", "é", "\x00"}
	rapid.Check(t, func(rt *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(parts)).Draw(rt, "parts"), "")
		rest := text
		l := lexer{rest: text}
		for got := l.next(); got.kind != tokenEnd; got = l.next() {
			i := strings.Index(rest, got.text)
			if got.text == "" || i < 0 {
				rt.Fatalf("%q: token %q is not part of the rest %q", text, got.text, rest)
			}
			rest = rest[i+len(got.text):]
		}
	})
}
