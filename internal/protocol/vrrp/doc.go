// Package vrrp is the state machine of a virtual router of VRRP version 3 over IPv4 (RFC 9568). The state that the RFC
// calls Active is called Master here, as in RFC 5798.
//
// A Router receives advertisements and the expiry of its one timer and returns what its driver is to do. It owns no
// socket, reads no clock, configures no address and starts no goroutine. It is not safe for concurrent use: the
// driver's goroutine calls it.
//
// Advertisements travel over UDP here. The TTL of 255, by which RFC 9568 section 5.1.1.3 proves that the sender is on
// the same link, cannot be checked then, so the driver must pass on advertisements of configured peers only.
package vrrp
