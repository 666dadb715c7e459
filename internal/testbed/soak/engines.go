package soak

import (
	"crypto/sha1"
	"fmt"
	"strings"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

const (
	platformEngines = 3
	engineCores     = 8
)

// engines are the emulated engines of a run, with their trouble.
type engines struct {
	pool  *testfleet.Pool
	all   []*emulator.Engine // also those that were killed
	mysql *emulator.MySQLEngine
}

func newEngines(clock func() time.Duration) (*engines, error) {
	pool, err := testfleet.NewPool(platformEngines, emulator.DefaultSpec(engineCores), clock)
	if err != nil {
		return nil, err
	}
	mysql, err := emulator.StartMySQL()
	if err != nil {
		pool.Close()
		return nil, err
	}
	return &engines{pool: pool, all: pool.Engines(), mysql: mysql}, nil
}

func (e *engines) close() {
	e.pool.Close()
	e.mysql.Close()
}

// mysqlSections are the sections of the operator's file for MySQL clients, whose queries all engines run at one MySQL address.
func (e *engines) mysqlSections(listen string, budget time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[mysql]\nlisten = %q\nengine_user = \"gw\"\n[mysql.engines]\n", listen)
	for _, engine := range e.all {
		fmt.Fprintf(&b, "%s = %q\n", engine.Name(), e.mysql.Addr())
	}
	stage1 := sha1.Sum([]byte(mysqlPassword)) // as mysql_native_password has it
	fmt.Fprintf(&b, "[[mysql.account]]\nuser = %q\npassword_hash = \"*%X\"\nclass = %q\nbudget_ms = %d\n", mysqlUser, sha1.Sum(stage1[:]),
		mysqlClass, budget.Milliseconds())
	return b.String()
}

// received reports whether an engine has run a query lately.
func (e *engines) received(id string) bool {
	for _, engine := range e.all {
		if engine.Knows(id) {
			return true
		}
	}
	return false
}

// disturb brings the trouble of a scenario.
func (e *engines) disturb(d Disturbance, discovery *testfleet.DiscoveryServer) {
	first := e.all[0]
	switch d {
	case EngineHangs:
		first.SetHung(true)
	case EngineDrains:
		list := e.pool.EngineList()
		list[0].State = "terminating"
		discovery.Publish(list[:1])
	case EngineKilled:
		e.pool.Kill(first)
	case DiscoveryDown:
		discovery.Close()
	case NoDisturbance:
	}
}
