// Package vrrp implements the state machine of a VRRP version 3 virtual router for IPv4 (RFC 9568). The Active state of the
// RFC is called Master here, as in RFC 5798.
//
// A Router handles advertisements and the expiry of its only timer, and returns the steps that its driver must execute. It
// owns no socket, reads no clock, configures no address and starts no goroutine. It is not safe for concurrent use.
//
// Advertisements are sent over UDP here, so the TTL of 255, by which RFC 9568 section 5.1.1.3 verifies that the sender is on
// the same link, cannot be checked. The driver must pass on advertisements of configured peers only.
package vrrp
