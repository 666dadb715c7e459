// Package rollout decides how a change of program or settings reaches a fleet of gateways in stages: a canary first, watched
// beside the gateways on the old version over the same time, then larger shares; a stage that does worse is rolled back.
//
// The package owns the plan of a change (Plan), its state machine (Machine), the statistical comparison of the new gateways with
// the old ones (Judge), and the messages by which gateways report (Report, Mix). It makes decisions and keeps state, nothing
// else: it is passed the time and what gateways report, and returns the actions to carry out. It never reads a clock, opens a
// socket or file, starts a process or starts a goroutine. A Machine belongs to one goroutine, the controller's loop; a Mix
// belongs to the gateway's event loop. The state of a Machine is a value that is stored after each call and from which
// another Machine can resume.
//
// Sources: R. Johari, L. Pekelis, D. Walsh, "Always Valid Inference: Bringing Sequential Analysis to A/B Testing" (2015), and
// H. Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm" (1970), for a test whose result may be read
// at any time; P. McCullagh, J. Nelder, "Generalized Linear Models" (1989) for the dispersion by which counts of gateways
// vary more than chance alone explains. docs/design/rollout.md weighs them.
package rollout
