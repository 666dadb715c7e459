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

// TestExchangeCountsAnswers checks that wrong answers, errors and timeouts are counted, but closed connections are not: queries
// that fail while a gateway's process is down must not count against its version.
func TestExchangeCountsAnswers(t *testing.T) {
	cases := []struct {
		answer string
		want   rollout.CheckResults
	}{
		{`"result":{"blob":"MQ=="}`, rollout.CheckResults{Correct: 1}},
		{`"result":{"blob":"Mg=="}`, rollout.CheckResults{Incorrect: 1}},
		{`"result":{"blob":"***"}`, rollout.CheckResults{Incorrect: 1}},
		{`"error":{"code":-32008}`, rollout.CheckResults{Unserved: 1}},
		{"garbage", rollout.CheckResults{Incorrect: 1}},
		{"nothing", rollout.CheckResults{Unserved: 1}},
		{"closed before any answer", rollout.CheckResults{}},
		{"closed within the answer", rollout.CheckResults{}},
	}
	for _, c := range cases {
		t.Run(c.answer, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go answerOnce(ln, c.answer)
			conn, err := dialGateway(ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			check := rollout.Check{Class: "c", Statement: "s", Expect: "1", BudgetMS: 100}
			if got, _ := conn.exchange(1, check); got != c.want {
				t.Errorf("results %+v, want %+v", got, c.want)
			}
		})
	}
}

// answerOnce accepts one connection and answers its first request, or fails in the way that answer describes.
func answerOnce(ln net.Listener, answer string) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	line, _ := bufio.NewReader(conn).ReadBytes('\n')
	var request struct {
		ID int `json:"id"`
	}
	json.Unmarshal(line, &request)
	switch answer {
	case "nothing":
		time.Sleep(3 * time.Second)
	case "closed before any answer":
	case "closed within the answer":
		fmt.Fprint(conn, `{"jsonrpc":"2.0","id":`)
	case "garbage":
		fmt.Fprintln(conn, "{{{")
	default:
		fmt.Fprintf(conn, "{\"jsonrpc\":\"2.0\",\"id\":%d,%s}\n", request.ID, answer)
		time.Sleep(100 * time.Millisecond)
	}
}
