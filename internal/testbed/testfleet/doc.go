// Package testfleet runs fleets of gateway processes on loopback. It owns the processes, a discovery server, a pool of
// emulated engines, and a relay that forwards all datagrams between gateways. It injects faults into the processes by
// signals and into the network through the relay, runs scenarios of such faults, and rolls out changes with the program's
// own controller. It ends only processes that it has started. The program's tests, package scale/runner and cmd/fleettest
// use it.
package testfleet
