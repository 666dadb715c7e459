package main

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"time"
)

func init() { scenarios["case-8"] = playLoadLost }

// Parameters of case 8.
const (
	loads         = 10
	troubledLoad  = 5 // before this one, the bad clients come
	longBeginning = 250000
	longClients   = 100
	allClients    = 220 // "others connect by the hundreds"
	shortBegin    = 16000
)

// playLoadLost: a branch sends loads of 60 KB, one after the other, on a kept connection. The disruption are bad clients with messages that
// never end. A load whose connection ends without an answer is sent once more on a new connection.
func playLoadLost(w *world, trouble bool) (violations []string, err error) {
	g, err := w.startHTTPFleet(2, false)
	if err != nil {
		return nil, err
	}
	c, err := dialRPC(g.listen)
	if err != nil {
		return nil, err
	}
	statement := "INSERT INTO survey_17.forms VALUES " + strings.Repeat("(12345678,'yes','no','no answer'),", 1800) + "(0,'','','')"
	for i := range loads {
		var held []net.Conn
		if i == troubledLoad && trouble {
			held = w.sendEndlessMessages(g)
			time.Sleep(300 * time.Millisecond)
		}
		answered, err := w.sendLoad(c, statement)
		if err == nil && !answered {
			if c, err = dialRPC(g.listen); err == nil {
				answered, err = w.sendLoad(c, statement)
			}
		}
		runtime.KeepAlive(held) // the connections of the bad clients stay open until here
		if err != nil {
			return nil, err
		}
		if !answered {
			violations = append(violations, fmt.Sprintf("load %d was sent, and sent once more on a new connection, and got no answer", i+1))
			return violations, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, nil
}

// sendLoad sends a load and reports whether it got an answer.
func (w *world) sendLoad(c *rpcClient, statement string) (answered bool, err error) {
	rid, answer, err := c.send("form-load", statement, loadBudget)
	w.record("branch sent the load %s of %d bytes, all bytes written: %v", rid, len(statement), err == nil)
	select {
	case a := <-answer:
		w.record("load %s: served %v %s", rid, a.Served, a.Text)
		return true, nil
	case <-c.ended:
		w.record("load %s: the connection ended without an answer", rid)
		return false, nil
	case <-time.After(loadBudget + socketSlack + lateAnswer):
		return false, fmt.Errorf("load %s has no answer on an open connection", rid)
	}
}

// sendEndlessMessages opens the connections of the bad clients, each with the beginning of a message.
func (w *world) sendEndlessMessages(g *gateway) (held []net.Conn) {
	total := 0
	for i := range allClients {
		size := longBeginning
		if i >= longClients {
			size = shortBegin
		}
		conn, err := net.Dial("tcp", g.listen)
		if err != nil {
			continue
		}
		held = append(held, conn)
		total += size
		_, _ = fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"blob":"%s`, strings.Repeat("A", size))
	}
	w.record("%d bad clients sent the beginnings of messages that never end, %d bytes in all", len(held), total)
	return held
}
