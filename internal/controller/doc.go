// Package controller runs a rollout: it drives the state machine of package rollout.
//
// It stores changes in a journal on disk, receives the gateways' reports on a UDP socket, finds, starts and stops the gateways'
// processes, sends synthetic checks (queries with a known result), and serves operators' commands on the control connection. When
// to restart a gateway or roll back a stage is decided by package rollout alone.
//
// The goroutine that calls Controller.Run owns the state machine and the journal. The goroutines that receive reports, serve
// commands and send checks pass their results to it over channels.
package controller
