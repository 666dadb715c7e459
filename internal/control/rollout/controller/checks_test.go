package controller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"frostpier/internal/control/rollout"
)

// Guards against blaming a version for the queries that a gateway missed while its process was down: an answer that is
// wrong, an error and no answer in time count, a connection that ends does not.
func TestWhatAKnownQueryCounts(t *testing.T) {
	for answer, want := range map[string]rollout.CheckResults{
		`"result":{"blob":"MQ=="}`:  {Correct: 1},
		`"result":{"blob":"Mg=="}`:  {Incorrect: 1},
		`"result":{"blob":"***"}`:   {Incorrect: 1},
		`"error":{"code":-32008}`:   {Unserved: 1},
		"garbage":                   {Incorrect: 1},
		"nothing":                   {Unserved: 1},
		"closed before any answer":  {},
		"closed within the answer ": {},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			line, _ := bufio.NewReader(nc).ReadBytes('\n')
			var call struct {
				ID int `json:"id"`
			}
			json.Unmarshal(line, &call)
			switch answer {
			case "nothing":
				time.Sleep(3 * time.Second)
			case "closed before any answer":
			case "closed within the answer ":
				fmt.Fprint(nc, `{"jsonrpc":"2.0","id":`)
			case "garbage":
				fmt.Fprintln(nc, "{{{")
			default:
				fmt.Fprintf(nc, "{\"jsonrpc\":\"2.0\",\"id\":%d,%s}\n", call.ID, answer)
				time.Sleep(100 * time.Millisecond)
			}
		}()
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		got, _ := one(conn, bufio.NewReader(conn), 1, rollout.Check{Class: "c", Statement: "s", Expect: "1", BudgetMS: 100})
		if got != want {
			t.Errorf("%s: %+v, want %+v", answer, got, want)
		}
		conn.Close()
		ln.Close()
	}
}
