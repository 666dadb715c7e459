package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
)

// Config is the configuration that a real workload manager is started with.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"` // where datagrams of other gateways arrive
	Peers      []string        `json:"peers"`       // an address for each gateway, in the order of their numbers
	Discovery  string          `json:"bulletin"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// ParseConfig reads a configuration.
func ParseConfig(text []byte) (Config, error) {
	c := Config{}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = 1, 192, 1024
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// SeedNumber is the seed of all chance; one that is no hexadecimal number counts by its bytes.
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

var errNoPeers = errors.New("peers: the configuration names none")

// PeerAddrs reads the addresses of the peers and the one where their datagrams arrive. They are read only where
// something uses them, so that a list which nothing needs stops no start.
func (c Config) PeerAddrs() (listen netip.AddrPort, peers []netip.AddrPort, err error) {
	if listen, err = netip.ParseAddrPort(c.PeerListen); err != nil {
		return listen, nil, fmt.Errorf("peer_listen: %w", err)
	}
	for i, text := range c.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return listen, nil, fmt.Errorf("peers, number %d: %w", i, err)
		}
		peers = append(peers, addr)
	}
	if len(peers) == 0 {
		return listen, nil, errNoPeers
	}
	return listen, peers, nil
}
