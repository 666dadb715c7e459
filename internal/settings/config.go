package settings

import (
	"encoding/json"
	"fmt"
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
	Bulletin string          `json:"bulletin"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
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
