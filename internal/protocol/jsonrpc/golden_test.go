package jsonrpc

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil"
)

var goldenLines = []string{
	validCall,
	`{"jsonrpc":"2.0","id":"a","method":"report","params":{"rid":"0000000000000001","budget":900,"blob":"U0VMRUNU"}}` + "\n",
	`{"jsonrpc":"2.0","id":8,"method":"ping"}` + "\n",
	`{"jsonrpc":"2.0","id":9,"method":"abort","params":{"id":7}}` + "\n",
	`{"jsonrpc":"2.0","id":10,"method":"nosuch","params":{}}` + "\n",
	`{"jsonrpc":"2.0","id":11,"method":"report","params":{"rid":5}}` + "\n",
	`{"jsonrpc":"2.0","id":12,"method":"report","params":{"rid":"1","budget":-1,"blob":"?"}}` + "\n",
	"{\n",
	"[]\n",
}

// The events parsed from client lines, and the formatted response lines, equal the golden file.
func TestPlatformTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	s := NewSession(classes{})
	for _, line := range goldenLines {
		events, err := s.Feed([]byte(line))
		fmt.Fprintf(&out, "in %q\n", line)
		for _, e := range events {
			if c := e.Call; c != nil {
				fmt.Fprintf(&out, "  call class %d id %s rid %s token %s statement %q budget %v cost %v memory %g repeat %v\n",
					c.Class, c.ID, c.RID, c.Token, c.Statement, c.Budget, c.EstimatedWork, c.EstimatedMemoryMB, c.IsClientRetry)
			}
			fmt.Fprintf(&out, "  abort %q ping %q reply %q\n", e.Abort, e.Ping, e.Reply)
		}
		fmt.Fprintf(&out, "  error %v\n", err != nil)
	}
	for _, response := range [][]byte{Result("7", []byte("rows\n")), Rejected("7", 1500*time.Millisecond), Rejected(`"a"`, 0),
		Failed("7", "failed"), Pong("8", true), Pong("8", false)} {
		fmt.Fprintf(&out, "out %q\n", response)
	}
	testutil.Golden(t, "platform.golden", []byte(out.String()))
}
