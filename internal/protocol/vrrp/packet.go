// Package vrrp is the state machine of RFC 9568 (VRRP version 3), which calls Active what is called Master here. It
// is fed messages and alarms; it knows no socket and no clock. Carried over UDP, a message's TTL of 255 cannot be
// checked, so that the sender is on the same link is taken on trust: the driver takes messages of listed peers only.
package vrrp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

const (
	version       = 3
	advertisement = 1
	headSize      = 8
	maxMessage    = headSize + 4*255
	tick          = 10 * time.Millisecond // intervals are told in hundredths of a second
	maxInterval   = 0xfff * tick
	owner         = 255 // the priority of the router that owns the addresses
)

// ErrMessage is a message that is to be discarded.
var ErrMessage = errors.New("message discarded")

// message is an advertisement.
type message struct {
	vrid     uint8
	priority uint8
	interval time.Duration
	addrs    []netip.Addr // IPv4
}

func (m message) bytes() []byte {
	b := []byte{version<<4 | advertisement, m.vrid, m.priority, byte(len(m.addrs))}
	b = binary.BigEndian.AppendUint16(b, uint16(m.interval/tick)&0xfff)
	b = append(b, 0, 0)
	for _, a := range m.addrs {
		ip := a.As4()
		b = append(b, ip[:]...)
	}
	binary.BigEndian.PutUint16(b[6:], ^sum(b))
	return b
}

// sum is the one's complement sum that the checksum is made of; for IPv4 it covers the message alone.
func sum(b []byte) uint16 {
	total := uint32(0)
	for i := 0; i+1 < len(b); i += 2 {
		total += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	for total > 0xffff {
		total = total>>16 + total&0xffff
	}
	return uint16(total)
}

func parse(b []byte) (message, error) {
	switch {
	case len(b) < headSize || len(b) > maxMessage:
		return message{}, fmt.Errorf("%w: %d bytes", ErrMessage, len(b))
	case b[0] != version<<4|advertisement:
		return message{}, fmt.Errorf("%w: version and type %#x", ErrMessage, b[0])
	case len(b) != headSize+4*int(b[3]) || b[3] == 0:
		return message{}, fmt.Errorf("%w: %d bytes with %d addresses", ErrMessage, len(b), b[3])
	case sum(b) != 0xffff:
		return message{}, fmt.Errorf("%w: checksum", ErrMessage)
	}
	m := message{vrid: b[1], priority: b[2], interval: time.Duration(binary.BigEndian.Uint16(b[4:])&0xfff) * tick}
	for at := headSize; at < len(b); at += 4 {
		m.addrs = append(m.addrs, netip.AddrFrom4([4]byte(b[at:at+4])))
	}
	return m, nil
}
