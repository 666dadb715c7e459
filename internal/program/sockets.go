package program

import (
	"frostpier/internal/transport/enginepool"
)

// reservedSockets is the part of the descriptor limit for listeners, the discovery watch, files, the runtime, and
// connections between accept and close.
const reservedSockets = 24

// socketBudgets divides the descriptor limit among the listeners and engine pools. The sum stays below the limit, as a
// dial that fails for want of a descriptor looks like an unreachable engine.
type socketBudgets struct{ clients, engines, mysqlClients, mysqlEngines enginepool.Budget }

// divideSockets divides a descriptor limit.
func divideSockets(sockets int, withMySQL bool) socketBudgets {
	if withMySQL {
		clients := enginepool.Budget{Max: sockets / 5}
		engines := engineBudget((sockets - 2*clients.Max - reservedSockets) / 2)
		return socketBudgets{clients: clients, mysqlClients: clients, engines: engines, mysqlEngines: engines}
	}
	// The platform's clients open a third at most, by their own count: some of those they have closed are not closed here yet.
	clients := enginepool.Budget{Max: sockets * 2 / 5}
	return socketBudgets{clients: clients, engines: engineBudget(sockets - clients.Max - reservedSockets)}
}

// engineBudget reserves a sixth for cancellations, which otherwise would wait behind the very attempts that they cancel.
func engineBudget(sockets int) enginepool.Budget {
	sockets = max(2, sockets)
	urgent := max(1, sockets/6)
	return enginepool.Budget{Max: sockets - urgent, Urgent: urgent}
}
