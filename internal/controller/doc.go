// Package controller runs a rollout: it drives the state machine of package rollout.
//
// It owns the journal of changes on disk, the socket to which gateways report, the search for the gateways' processes, their
// start and stop, the checks (queries whose result is known), and the control connection for operators' commands. It never
// decides when a gateway is changed or a stage rolled back: package rollout does.
//
// One goroutine, which calls Controller.Run, owns the state machine and the journal. The goroutines that receive reports,
// serve commands and send checks pass their results to it over channels.
package controller
