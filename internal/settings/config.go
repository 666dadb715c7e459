package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
)

// Default limits of a configuration.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Config is the configuration file with which the platform starts a gateway.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"` // file descriptors
	} `json:"limits"`
	PeerListen          string          `json:"peer_listen"` // UDP address on which datagrams of other gateways are received
	Peers               []string        `json:"peers"`       // UDP addresses of all gateways, by gateway index
	DiscoveryAddr       string          `json:"bulletin"`    // address of the discovery server; empty = none
	InitialEngineEvents json.RawMessage `json:"known"`       // engine events from before the start, as the discovery server sends them
	Settings            json.RawMessage `json:"settings"`    // settings object, see ParseHost
}

// ParseConfig parses a configuration file. It ignores unknown keys.
func ParseConfig(text []byte) (Config, error) {
	c := Config{}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = defaultCores, defaultMemoryMB, defaultSockets
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("%s: %w", SourceConfiguration, err)
	}
	return c, nil
}

// SeedNumber returns the seed of all random number generators: Seed as a hexadecimal number, or its hash if it is not one.
func (c Config) SeedNumber() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	n := uint64(0)
	for _, b := range []byte(c.Seed) {
		n = n*131 + uint64(b)
	}
	return n
}

// PeerAddrs returns the address on which datagrams are received and the addresses of all gateways. Only membership needs
// them, so ParseConfig does not check them: a gateway without membership must start even if they are invalid. The error is
// a *KeyError.
func (c Config) PeerAddrs() (listen netip.AddrPort, peers []netip.AddrPort, err error) {
	if listen, err = parseAddr("peer_listen", c.PeerListen); err != nil {
		return listen, nil, err
	}
	if len(c.Peers) == 0 {
		return listen, nil, &KeyError{Source: SourceConfiguration, Key: "peers", Reason: "must not be empty"}
	}
	for i, text := range c.Peers {
		peer, err := parseAddr(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return listen, nil, err
		}
		peers = append(peers, peer)
	}
	return listen, peers, nil
}

// parseAddr parses the value of a configuration key as an IP address with a port.
func parseAddr(key, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, &KeyError{Source: SourceConfiguration, Key: key, Value: text, Reason: "must be an IP address with a port", Err: err}
	}
	return addr, nil
}
