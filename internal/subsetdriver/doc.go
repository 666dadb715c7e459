// Package subsetdriver drives package subset in a running gateway.
//
// It brings together the configuration, the zones that gateways send each other, what membership knows of the gateways, and the
// gateway's engines. Updater is a state machine that is passed the time; Driver runs one on the gateway's event loop, which makes
// all calls. The package starts no goroutine, and never chooses engines itself: package subset does.
package subsetdriver
