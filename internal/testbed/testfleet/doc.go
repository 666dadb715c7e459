// Package testfleet runs fleets of gateways, as processes of the program, on loopback. It owns the processes, a discovery
// server, a pool of emulated engines, and a relay that every datagram between two gateways passes. It injects faults into
// the processes by signals and into the network at the relay, plays scenarios of such faults, and rolls changes out with
// the program's own controller. It ends only what it has started, and makes no decision of a gateway. The program's tests,
// package scale/runner and cmd/fleettest use it.
package testfleet
