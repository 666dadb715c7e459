package jsonrpc

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkLongLineOfShortFields parses a line of nearly the largest size with very many parameters that no method has.
func BenchmarkLongLineOfShortFields(b *testing.B) {
	const readBytes = 8 << 10
	var line strings.Builder
	line.WriteString(`{"jsonrpc":"2.0","id":1,"method":"ping","params":{`)
	for i := 0; line.Len() < maxLineBytes-100; i++ {
		fmt.Fprintf(&line, `"%x":0,`, i)
	}
	line.WriteString(`"z":0}}` + "\n")
	text := []byte(line.String())
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		s := NewSession(classes{})
		for rest := text; len(rest) > 0; {
			n := min(readBytes, len(rest))
			if _, err := s.Feed(rest[:n]); err != nil {
				b.Fatal(err)
			}
			rest = rest[n:]
		}
	}
}
