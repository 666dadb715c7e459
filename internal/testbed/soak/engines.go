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

// engines holds the emulated engines of a run and injects disturbances into them.
type engines struct {
	pool  *testfleet.Pool
	all   []*emulator.Engine // including killed ones
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

// mysqlSections returns the sections of the operator's file that enable MySQL clients. All engines share one emulated MySQL server.
func (e *engines) mysqlSections(listen string, budget time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[mysql]\nlisten = %q\nengine_user = \"gw\"\n[mysql.engines]\n", listen)
	for _, engine := range e.all {
		fmt.Fprintf(&b, "%s = %q\n", engine.Name(), e.mysql.Addr())
	}
	stage1 := sha1.Sum([]byte(mysqlPassword)) // mysql_native_password stores SHA1(SHA1(password))
	fmt.Fprintf(&b, "[[mysql.account]]\nuser = %q\npassword_hash = \"*%X\"\nclass = %q\nbudget_ms = %d\n", mysqlUser, sha1.Sum(stage1[:]),
		mysqlClass, budget.Milliseconds())
	return b.String()
}

// received reports whether any engine has recently received the query with this ID.
func (e *engines) received(id string) bool {
	for _, engine := range e.all {
		if engine.HasQuery(id) {
			return true
		}
	}
	return false
}

// injectDisturbance injects the scenario's disturbance.
func (e *engines) injectDisturbance(d Disturbance, discovery *testfleet.DiscoveryServer) {
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
