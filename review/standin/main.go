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
	memoryMB        int // limits of the gateway
	sockets         int
	rec             *record
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*setup) int{"spoilt": playSpoilt, "memory": playMemory, "cut": playCut, "slow": playSlow}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return couldNot
	}
	s := &setup{trouble: os.Getenv("TROUBLE") != "0", memoryMB: 192, sockets: 1024}
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
