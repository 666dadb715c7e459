package vrrp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Wire format of an advertisement (RFC 9568 section 5.2).
const (
	protocolVersion      = 3
	typeAdvertisement    = 1
	versionAndType       = protocolVersion<<4 | typeAdvertisement
	headerSize           = 8
	addressSize          = 4
	maxAddresses         = 255
	maxAdvertisementSize = headerSize + addressSize*maxAddresses
	intervalUnit         = 10 * time.Millisecond // Max Advertise Interval is in centiseconds
	intervalMask         = 0xfff
	maxInterval          = intervalMask * intervalUnit
	checksumOffset       = 6
)

// Reserved priorities (RFC 9568 section 5.2.4).
const (
	stopPriority  = 0   // the master has stopped participating in VRRP
	ownerPriority = 255 // the sender owns the addresses
)

// ErrDiscarded is wrapped by every error about an advertisement that must be discarded (RFC 9568 section 7.1).
var ErrDiscarded = errors.New("advertisement discarded")

// SizeError reports an advertisement of the wrong size. It matches ErrDiscarded.
type SizeError struct {
	Size      int // bytes received
	Addresses int // number of addresses in the header; 0 if the header was not read
}

// Error gives the size and the number of addresses.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%v: %d bytes with %d addresses", ErrDiscarded, e.Size, e.Addresses)
}

// Unwrap makes errors.Is match ErrDiscarded.
func (e *SizeError) Unwrap() error { return ErrDiscarded }

// Errors for advertisements with one invalid field. All match ErrDiscarded.
var (
	errVersionOrType = fmt.Errorf("%w: unsupported version or type", ErrDiscarded)
	errChecksum      = fmt.Errorf("%w: wrong checksum", ErrDiscarded)
	errOtherRouter   = fmt.Errorf("%w: VRID of another virtual router", ErrDiscarded)
	errNotOwner      = fmt.Errorf("%w: this router owns the addresses", ErrDiscarded)
	errZeroInterval  = fmt.Errorf("%w: advertisement interval is zero", ErrDiscarded)
)

// advertisement is a VRRP advertisement.
type advertisement struct {
	vrid     uint8
	priority uint8
	interval time.Duration
	addrs    []netip.Addr // IPv4
}

// encode returns the advertisement in wire format.
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

// onesComplementSum returns the one's complement sum of b; its complement is the checksum. For IPv4 the checksum covers only
// the advertisement, without a pseudo-header (RFC 9568 section 5.2.8). The sum of bytes with a correct checksum is 0xffff.
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

// parseAdvertisement parses and verifies an advertisement (RFC 9568 section 7.1). Every error matches ErrDiscarded.
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
