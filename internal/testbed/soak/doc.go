// Package soak runs soak tests of planned gateway shutdowns under load. Each scenario is generated from a seed: clients keep using
// their connections until the process is killed, the gateway receives several signals, engines hang, drain or crash, and the discovery
// server becomes unavailable. A run checks that every accepted request gets exactly one complete answer. Gateways are processes of the
// program; engines and clients are emulated on loopback.
package soak
