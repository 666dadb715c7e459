// Package subset chooses the engines that a gateway uses: a subset of the fleet's engines (deterministic subsetting, see
// chapter 20 of the SRE book). Every gateway computes its own subset from the list of engines, its number and the gateways
// in service, without a coordinator.
//
// The engines of each zone form a ring in the order of their hashes, which is divided into equal parts. A gateway uses:
//
//   - the part of its zone's ring that is selected by the gateway's rank in the zone;
//   - the engines between its own position on the ring and the position of the next gateway in service, so that every
//     engine is in at least one subset;
//   - additional engines if these are too few: from its zone, then from its region, then from other regions.
//
// New engines are added at once. Engines that are no longer wanted are removed after a delay, a few at a time.
//
// The package only chooses engines. It is a state machine that is passed the time and the state of the fleet, and returns a
// set of engines. It uses no socket, clock or goroutine. A Chooser belongs to one goroutine, which is the gateway's event
// loop in the program.
//
// The rings and their parts follow the deterministic aperture of Twitter's Finagle (2019). Traffic leaves a zone that has
// too few engines as in Envoy's zone-aware routing. docs/design/subset.md compares these with alternatives.
package subset
