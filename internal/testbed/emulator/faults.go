package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"frostpier/internal/program"
	"frostpier/internal/settings"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// Faults are what a stand-in for a bad version of the program can do worse.
const (
	CrashAtStart = "crash-at-start"
	HangAtStart  = "hang-at-start"
	CrashLater   = "crash-after-5s"
	Slow         = "slow"
	RefusesClass = "refuses-a-class"
	Spoils       = "spoils-one-in-50"
	Leaks        = "leaks"
)

// Faults lists them.
func Faults() []string {
	return []string{CrashAtStart, HangAtStart, CrashLater, Slow, RefusesClass, Spoils, Leaks}
}

const (
	faultVar  = "RIG_FAULT"
	ownerVar  = "RIG_OWNER" // the process that started the fleet: with it all processes of the fleet end
	slowFor   = 300 * time.Millisecond
	slowEvery = 350 * time.Millisecond
	leakEvery = 100 * time.Millisecond
	leakBytes = 600 << 10
	spoilOne  = 50
)

// FaultEnv is the environment of a version with a fault.
func FaultEnv(fault string) []string { return []string{faultVar + "=" + fault} }

// OwnerEnv is the environment of processes that are to end with this one.
func OwnerEnv() []string { return []string{fmt.Sprintf("%s=%d", ownerVar, os.Getpid())} }

// Hooks make the program that runs here as bad as its environment says.
func Hooks() (program.Hooks, error) {
	if owner, err := strconv.Atoi(os.Getenv(ownerVar)); err == nil {
		go endWith(owner)
	}
	switch fault := os.Getenv(faultVar); fault {
	case "":
	case CrashAtStart:
		os.Exit(3)
	case HangAtStart:
		select {}
	case CrashLater:
		time.AfterFunc(5*time.Second, func() { os.Exit(3) })
	case Slow:
		return program.Hooks{Loop: func(l *eventloop.Loop) {
			go func() {
				for range time.Tick(slowEvery) {
					l.Do(func() { time.Sleep(slowFor) })
				}
			}()
		}}, nil
	case RefusesClass:
		return program.Hooks{Host: func(h *settings.Host) {
			i := slices.IndexFunc(h.Module.Classes, func(c policy.Class) bool { return c.Threads > 2 })
			h.Module.Classes[max(0, i)].RestrictKinds = true // to no kind at all
		}}, nil
	case Spoils:
		return program.Hooks{}, spoilAnswers()
	case Leaks:
		go func() {
			var kept [][]byte
			for range time.Tick(leakEvery) {
				b := make([]byte, leakBytes)
				for i := 0; i < len(b); i += 4096 {
					b[i] = 1
				}
				kept = append(kept, b)
				_ = kept
			}
		}()
	default:
		return program.Hooks{}, fmt.Errorf("%s: no fault %q", faultVar, fault)
	}
	return program.Hooks{}, nil
}

// endWith ends this process soon after another has ended.
func endWith(owner int) {
	for range time.Tick(time.Second) {
		if syscall.Kill(owner, 0) == syscall.ESRCH {
			os.Exit(4)
		}
	}
}

// spoilAnswers takes the gateway's place before its clients and changes one result in so many: what no gateway counts.
func spoilAnswers() error {
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	var conf settings.Config
	if err := json.Unmarshal(text, &conf); err != nil {
		return err
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	addr := inner.Addr().String()
	inner.Close()
	if err := os.Setenv("GW_LISTEN", addr); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	go func() {
		var count atomic.Int64
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				gateway, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				defer gateway.Close()
				go func() {
					io.Copy(gateway, client)
					gateway.Close()
				}()
				lines := bufio.NewReader(gateway)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					if strings.Contains(line, `"blob":"`) {
						if count.Add(1)%spoilOne == 0 {
							line = strings.Replace(line, `"blob":"`, `"blob":"c3Bv`, 1)
						}
					}
					if _, err := io.WriteString(client, line); err != nil {
						return
					}
				}
			}()
		}
	}()
	return nil
}
