// Package subsetdriver applies package subset in a running gateway.
//
// It passes the configuration, the zones that gateways send each other and the membership state to the subset chooser, and
// restricts the gateway to the chosen engines. Updater is a state machine that is passed the time. Driver runs an Updater on
// the gateway's event loop, from which all calls come. The package starts no goroutine, and does not choose engines itself:
// package subset does.
package subsetdriver
