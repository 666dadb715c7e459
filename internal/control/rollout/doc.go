// Package rollout decides how a change of program or settings is rolled out to a fleet of gateways in stages: first to a canary,
// then to larger shares. Each stage is compared with the gateways on the old version over the same time, and rolled back if it
// regresses.
//
// The package owns the plan of a change (Plan), its state machine (Machine), the statistical comparison of new gateways with old
// ones (Judge), and the messages in which gateways report their version and counts (Report, VersionTracker). It only makes
// decisions and keeps state: the caller passes in the time and the gateways' reports and carries out the returned actions. The
// package never reads a clock, opens a socket or file, or starts a process or goroutine. A Machine belongs to one goroutine,
// the controller's loop; a VersionTracker belongs to the gateway's event loop. The state of a Machine is a plain value: the
// caller stores it after each call, and another Machine can resume from it.
//
// New gateways are those that were started on the new version of the change, old gateways those on the old version. The watch of
// a stage is the analysis window in which its new gateways are compared with the old ones.
//
// Sources: R. Johari, L. Pekelis, D. Walsh, "Always Valid Inference: Bringing Sequential Analysis to A/B Testing" (2015), and
// H. Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm" (1970), for a test that may be evaluated
// at any time; P. McCullagh, J. Nelder, "Generalized Linear Models" (1989), for overdispersion: counts of gateways vary more than
// chance alone explains. docs/design/rollout.md compares the alternatives.
package rollout
