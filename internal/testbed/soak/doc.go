// Package soak plays planned stops of gateways under load, each drawn from a seed: clients that go on using their connections
// until the process is killed, series of signals, engines that hang, drain or die, and a discovery server that is away. It checks
// that every request that a gateway has accepted gets one whole answer. Gateways are processes of the program; engines and clients
// are emulated on loopback. The package decides nothing for a gateway.
package soak
