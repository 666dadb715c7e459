package program

import (
	"frostpier/internal/transport/enginepool"
)

// shares divides the descriptors. Together they stay below the limit: a dial that fails for want of a descriptor
// looks like an engine that cannot be reached.
type shares struct{ clients, engines, mysqlClients, mysqlEngines enginepool.Budget }

// spare is for listeners, the discovery watch, files, the runtime, and connections between accept and close.
const spare = 24

func divide(sockets int, withMySQL bool) shares {
	if withMySQL {
		s := shares{clients: enginepool.Budget{Most: sockets / 5}, mysqlClients: enginepool.Budget{Most: sockets / 5}}
		s.engines = engineShare((sockets - 2*(sockets/5) - spare) / 2)
		s.mysqlEngines = s.engines
		return s
	}
	clients := sockets * 2 / 5 // they hold a third at most, by their own count: some are closed there and not yet here
	return shares{clients: enginepool.Budget{Most: clients}, engines: engineShare(sockets - clients - spare)}
}

// engineShare keeps a sixth for what gives attempts up: else it would wait behind the very attempts.
func engineShare(all int) enginepool.Budget {
	all = max(2, all)
	return enginepool.Budget{Most: all - max(1, all/6), Urgent: max(1, all/6)}
}
