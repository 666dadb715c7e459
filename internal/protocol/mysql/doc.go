// Package mysql speaks the MySQL client/server protocol as state machines: Front serves one client connection, and
// Exchange carries one attempt of a call to an engine.
//
// Both receive bytes and events and return what their driver is to do: bytes to write, timers to set, connections to
// open or close. Neither owns a socket, reads a clock, starts a goroutine or decides which engine serves a call. A
// Front belongs to the goroutine of its client connection, an Exchange to that of its attempt driver; neither is safe
// for concurrent use.
package mysql
