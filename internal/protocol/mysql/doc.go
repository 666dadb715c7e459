// Package mysql implements the MySQL client/server protocol as state machines: ServerConn serves one client connection, and
// Exchange executes one attempt of a query on an engine.
//
// Both handle events and return what their driver must do: bytes to write, timers to set, connections to open or close.
// Neither owns a socket, reads a clock, starts a goroutine or chooses an engine. Neither is safe for concurrent use: all
// methods must be called on the event loop.
package mysql
