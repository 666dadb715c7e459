// Package subset chooses, for one gateway, the engines that it uses: a subset of the fleet's engines (deterministic subsetting,
// as in the SRE book, chapter 20). Every gateway computes its own from the list of engines, its number and the gateways in
// service, without a coordinator.
//
// The engines of each zone form a ring in the order of a hash, which is divided into equal parts. A gateway uses the part that
// its rank in the zone points to, the engines between its own position and that of the next gateway in service, so that no
// engine is left out, and as many more as it lacks: of its zone, then of its region, then of other regions. Engines are added
// at once, and removed only after a while, a few at a time.
//
// The package owns the choice alone. It is a state machine: it is passed the time and what is known, and returns a set. It
// knows no socket, clock or goroutine. A Chooser belongs to one goroutine, in the program the gateway's event loop.
//
// Sources: the deterministic aperture of Twitter's Finagle (2019) for rings and windows; Envoy's zone-aware routing for
// what leaves a zone that is short of engines. docs/design/subset.md weighs them against others.
package subset
