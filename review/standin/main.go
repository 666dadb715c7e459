// Command standin plays one case of the review: it starts the gateway with the command of the deploy file, and takes the place
// of its clients, engines, network and bulletin. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// exit codes
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// setup is what every case has.
type setup struct {
	root, dir, temp string
	trouble         bool
	rec             *record
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*setup) int{"memory": playMemory, "cut": playCut, "slow": playSlow}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return couldNot
	}
	s := &setup{trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if s.root, err = filepath.Abs(os.Args[2]); err == nil {
		s.dir, err = filepath.Abs(os.Args[3])
	}
	if err == nil {
		s.temp, err = os.MkdirTemp("", "review")
	}
	if err == nil {
		s.rec, err = newRecord(filepath.Join(s.dir, "record.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(s.temp)
	defer s.rec.close()
	s.rec.add("case %s, trouble %t, started %s", os.Args[1], s.trouble, time.Now().Format(time.RFC3339))
	return cases[os.Args[1]](s)
}

// fail reports that the case could not run.
func (s *setup) fail(format string, args ...any) int {
	s.rec.verdict("could not run: "+format, args...)
	return couldNot
}

// startEngines starts n engines, each behind a link, and returns their entries in the list.
func (s *setup) startEngines(n int, o *outs) (engines []*engine, links []*link, list []listed, err error) {
	for i := range n {
		e, err := startEngine(fmt.Sprintf("e%d", i), s.rec, o)
		if err != nil {
			return nil, nil, nil, err
		}
		l, err := startLink(e.addr)
		if err != nil {
			return nil, nil, nil, err
		}
		engines, links = append(engines, e), append(links, l)
		list = append(list, listed{ID: fmt.Sprintf("s-%08x", 0x00c41f70+i), Addr: l.addr, Zone: "reykjavik-dc1",
			Kind: []string{"large-12c", "small-8c"}[i%2], Cell: 1, Lifecycle: "in_service", Weight: 4})
	}
	return engines, links, list, nil
}

// awaitAnswers waits for the answer to each call, for at most wait after it was sent.
func (s *setup) awaitAnswers(calls []*call, wait time.Duration) {
	missing := 0
	for _, k := range calls {
		timeout := time.NewTimer(max(time.Millisecond, time.Until(k.sent.Add(wait))))
		select {
		case <-k.done:
		case <-timeout.C:
			missing++
			s.rec.add("client: %s %s has no answer", k.class, k.rid)
		}
		timeout.Stop()
	}
	if missing > 0 {
		s.rec.verdict("note: %d requests have no answer", missing)
	}
}
