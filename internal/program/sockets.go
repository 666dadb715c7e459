package program

import (
	"frostpier/internal/transport/enginepool"
)

// reservedSockets is the number of descriptors for listeners, the discovery watch, files, the Go runtime, and client
// connections over the limit, which are accepted and closed at once.
const reservedSockets = 24

// socketBudgets contains the shares of the descriptor limit for the listeners and engine pools. Their sum must not exceed the
// limit, since a dial that fails without a free descriptor looks like an unreachable engine.
type socketBudgets struct{ clients, engines, mysqlClients, mysqlEngines enginepool.Budget }

// divideSockets divides a descriptor limit into budgets.
func divideSockets(sockets int, withMySQL bool) socketBudgets {
	if withMySQL {
		clients := enginepool.Budget{Max: sockets / 5}
		engines := engineBudget((sockets - 2*clients.Max - reservedSockets) / 2)
		return socketBudgets{clients: clients, mysqlClients: clients, engines: engines, mysqlEngines: engines}
	}
	// The platform's clients limit themselves to a third of the descriptors, but do not count connections that they have closed
	// and that this gateway has not.
	clients := enginepool.Budget{Max: sockets * 2 / 5}
	return socketBudgets{clients: clients, engines: engineBudget(sockets - clients.Max - reservedSockets)}
}

// engineBudget returns the budget of an engine pool. A sixth is reserved for cancellations, which would otherwise wait for the
// attempts that they cancel to release a descriptor.
func engineBudget(sockets int) enginepool.Budget {
	sockets = max(2, sockets)
	urgent := max(1, sockets/6)
	return enginepool.Budget{Max: sockets - urgent, Urgent: urgent}
}
