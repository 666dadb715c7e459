package main

import (
	"fmt"
	"time"
)

// figures of a look-up: about 80% of the queries, 110 to 230 ms of work, given up after 4 s
const (
	lookupRuns   = 150 * time.Millisecond
	lookupBudget = 4 * time.Second
	tableGroups  = 24
)

// world is what surrounds the gateway of a case: six engines, each behind a link, the bulletin, and usual clients.
type world struct {
	*setup
	outs     *outs
	engines  []*engine
	links    []*link
	list     []listed
	bulletin *bulletin
	gateway  *gateway
	clients  []*client
	calls    []*call
	lookups  int // look-ups sent so far
}

// newWorld starts the stand-ins and the gateway. The caller calls close, also after an error.
func newWorld(s *setup, engines, clients int) (w *world, err error) {
	w = &world{setup: s, outs: &outs{}}
	for i := range engines {
		if err := w.startEngine(i); err != nil {
			return w, err
		}
	}
	if w.bulletin, err = startBulletin(s.rec, w.list); err != nil {
		return w, err
	}
	w.gateway, err = startGateway(gatewayConfig{root: s.root, temp: s.temp, caseDir: s.dir, bulletin: w.bulletin,
		memoryMB: s.memoryMB, sockets: s.sockets})
	if err != nil {
		return w, err
	}
	for range clients {
		c, err := dialClient(s.rec, w.gateway.addr)
		if err != nil {
			return w, err
		}
		w.clients = append(w.clients, c)
	}
	return w, nil
}

// startEngine starts an engine and its link, and adds it to the list.
func (w *world) startEngine(i int) error {
	e, err := startEngine(fmt.Sprintf("e%d", i), w.rec, w.outs)
	if err != nil {
		return err
	}
	l, err := startLink(e.addr)
	if err != nil {
		return err
	}
	w.engines, w.links = append(w.engines, e), append(w.links, l)
	w.list = append(w.list, listed{ID: fmt.Sprintf("s-%08x", 0x00c41f70+i), Addr: l.addr, Zone: "reykjavik-dc1",
		Kind: []string{"large-12c", "small-8c"}[i%2], Cell: 1, Lifecycle: "in_service", Weight: 4})
	return nil
}

func (w *world) close() {
	if w.gateway != nil {
		w.gateway.stop()
	}
}

// send sends a query on one of the clients' connections.
func (w *world) send(class string, group int, runs, budget, work time.Duration) {
	c := w.clients[len(w.calls)%len(w.clients)]
	w.calls = append(w.calls, c.send(class, statement(1+group%tableGroups, runs), budget, work))
}

// sendLookup sends the next look-up, spread over the table groups.
func (w *world) sendLookup() {
	w.lookups++
	w.send("lookup", w.lookups, lookupRuns, lookupBudget, lookupRuns)
}

// sendLookups sends a look-up at each interval until a time.
func (w *world) sendLookups(interval time.Duration, until time.Time) {
	for ; time.Now().Before(until); time.Sleep(interval) {
		w.sendLookup()
	}
}

// awaitAnswers waits for the answer to each request, for at most patience after its budget, or for a moment if the gateway has
// ended. It returns the number of answers of each kind, and of requests without one.
func (w *world) awaitAnswers(patience time.Duration) (answers map[string]int, missing int) {
	answers = map[string]int{}
	for _, k := range w.calls {
		wait := time.Until(k.sent.Add(k.budget + patience))
		if !w.gateway.alive() {
			wait = min(wait, 100*time.Millisecond)
		}
		timeout := time.NewTimer(max(time.Millisecond, wait))
		select {
		case <-k.done:
			answers[k.verdict]++
		case <-timeout.C:
			missing++
			w.rec.add("client: %s %s has no answer", k.class, k.rid)
		}
		timeout.Stop()
	}
	return answers, missing
}
