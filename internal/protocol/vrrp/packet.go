package vrrp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Fields of an advertisement (RFC 9568 section 5.2).
const (
	protocolVersion      = 3
	typeAdvertisement    = 1
	versionAndType       = protocolVersion<<4 | typeAdvertisement
	headerSize           = 8
	addressSize          = 4
	maxAddresses         = 255
	maxAdvertisementSize = headerSize + addressSize*maxAddresses
	intervalUnit         = 10 * time.Millisecond // Max Advertise Interval is in hundredths of a second
	intervalMask         = 0xfff
	maxInterval          = intervalMask * intervalUnit
	checksumOffset       = 6
)

// Priorities with a meaning of their own (RFC 9568 section 5.2.4).
const (
	releasePriority = 0   // the active router stops
	ownerPriority   = 255 // the router owns the addresses
)

// ErrDiscarded is wrapped by every error about an advertisement that must be discarded (RFC 9568 section 7.1).
var ErrDiscarded = errors.New("advertisement discarded")

// SizeError reports an advertisement whose size is wrong. It matches ErrDiscarded.
type SizeError struct {
	Size      int // bytes received
	Addresses int // number of addresses that the header announces; 0 if it was not read
}

// Error gives both sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%v: %d bytes with %d addresses", ErrDiscarded, e.Size, e.Addresses)
}

// Unwrap makes errors.Is match ErrDiscarded.
func (e *SizeError) Unwrap() error { return ErrDiscarded }

// Errors of advertisements that are discarded for one field. All match ErrDiscarded.
var (
	errVersionOrType = fmt.Errorf("%w: version or type", ErrDiscarded)
	errChecksum      = fmt.Errorf("%w: checksum", ErrDiscarded)
	errOtherRouter   = fmt.Errorf("%w: other virtual router", ErrDiscarded)
	errNotOwner      = fmt.Errorf("%w: this router owns the addresses", ErrDiscarded)
	errZeroInterval  = fmt.Errorf("%w: advertisement interval of zero", ErrDiscarded)
)

// advertisement is a VRRP advertisement.
type advertisement struct {
	vrid     uint8
	priority uint8
	interval time.Duration
	addrs    []netip.Addr // IPv4
}

// encode returns the bytes of the advertisement.
func (a advertisement) encode() []byte {
	b := []byte{versionAndType, a.vrid, a.priority, byte(len(a.addrs))}
	b = binary.BigEndian.AppendUint16(b, uint16(a.interval/intervalUnit)&intervalMask)
	b = append(b, 0, 0) // checksum
	for _, addr := range a.addrs {
		ip := addr.As4()
		b = append(b, ip[:]...)
	}
	binary.BigEndian.PutUint16(b[checksumOffset:], ^onesComplementSum(b))
	return b
}

// onesComplementSum is the sum whose complement is the checksum. For IPv4 it covers the advertisement alone, without a
// pseudo-header (RFC 9568 section 5.2.8). Over bytes that include their checksum it is 0xffff.
func onesComplementSum(b []byte) uint16 {
	total := uint32(0)
	for i := 0; i+1 < len(b); i += 2 {
		total += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	for total > 0xffff {
		total = total>>16 + total&0xffff
	}
	return uint16(total)
}

// parseAdvertisement reads and verifies an advertisement (RFC 9568 section 7.1). Every error matches ErrDiscarded.
func parseAdvertisement(b []byte) (advertisement, error) {
	if len(b) < headerSize || len(b) > maxAdvertisementSize {
		return advertisement{}, &SizeError{Size: len(b)}
	}
	if b[0] != versionAndType {
		return advertisement{}, fmt.Errorf("%w: %#x", errVersionOrType, b[0])
	}
	if addresses := int(b[3]); addresses == 0 || len(b) != headerSize+addressSize*addresses {
		return advertisement{}, &SizeError{Size: len(b), Addresses: addresses}
	}
	if onesComplementSum(b) != 0xffff {
		return advertisement{}, errChecksum
	}
	a := advertisement{
		vrid:     b[1],
		priority: b[2],
		interval: time.Duration(binary.BigEndian.Uint16(b[4:])&intervalMask) * intervalUnit,
	}
	for offset := headerSize; offset < len(b); offset += addressSize {
		a.addrs = append(a.addrs, netip.AddrFrom4([4]byte(b[offset:offset+addressSize])))
	}
	return a, nil
}
