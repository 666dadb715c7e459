package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"frostpier/internal/settings"
)

// Gateway is a gateway of the fleet, as described by its configuration.
type Gateway struct {
	Name   string
	Config string // absolute path of the configuration, which identifies the gateway's process
	Listen string // the address to which clients connect
}

// Fleet describes the gateways that a plan changes.
type Fleet struct {
	Gateways          []Gateway // by index
	Classes           []string
	LatencyObjectives []time.Duration `json:"Aims"` // indexed like Classes
}

// FleetError means that the configurations do not describe a valid fleet.
type FleetError struct {
	Path   string // path of the invalid configuration; empty if the error is not in a single one
	Key    string // invalid key of the configuration or the plan; empty if the configuration cannot be read or parsed
	Value  any    // value of Key
	Reason string
	Err    error // underlying error; may be nil
}

// Error returns the text that operators see.
func (e *FleetError) Error() string {
	subject := e.Path
	if subject == "" {
		subject = e.Key
	}
	if subject == "" {
		return "fleet: " + e.Reason
	}
	return fmt.Sprintf("fleet: %s: %s", subject, e.Reason)
}

// Unwrap returns the underlying error.
func (e *FleetError) Unwrap() error { return e.Err }

// ReadFleet reads the configurations that match a glob pattern, one per gateway. Errors are of type *FleetError.
func ReadFleet(pattern string) (Fleet, error) {
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		return Fleet{}, &FleetError{Key: "configs", Value: pattern, Reason: fmt.Sprintf("no file matches %q", pattern), Err: err}
	}
	f := Fleet{Gateways: make([]Gateway, len(paths))}
	for _, path := range paths {
		if err := f.addGateway(path); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addGateway reads a configuration and adds its gateway.
func (f *Fleet) addGateway(path string) error {
	path, err := filepath.Abs(path)
	if err != nil {
		return &FleetError{Reason: err.Error(), Err: err}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return &FleetError{Reason: err.Error(), Err: err}
	}
	conf, err := settings.ParseConfig(text)
	if err != nil {
		return &FleetError{Path: path, Reason: err.Error(), Err: err}
	}
	host, err := settings.ParseHost(conf.Settings)
	if err != nil {
		return &FleetError{Path: path, Reason: err.Error(), Err: err}
	}
	var classes []string
	var objectives []time.Duration
	for _, c := range host.Policy.Classes {
		classes = append(classes, c.Name)
		objectives = append(objectives, c.LatencyObjective)
	}
	invalid := func(key string, value any, format string, args ...any) error {
		return &FleetError{Path: path, Key: key, Value: value, Reason: fmt.Sprintf(format, args...)}
	}
	index, gateways := host.Policy.GatewayIndex, len(f.Gateways)
	switch {
	case host.Policy.Gateways != gateways || index < 0 || index >= gateways:
		return invalid("self_index", index, "index %d of %d gateways, but there are %d configurations", index, host.Policy.Gateways, gateways)
	case f.Gateways[index].Config != "":
		return invalid("self_index", index, "index %d is already used by %s", index, f.Gateways[index].Name)
	case f.Classes != nil && !slices.Equal(f.Classes, classes):
		return invalid("classes", classes, "classes differ from those of the other configurations")
	}
	f.Classes, f.LatencyObjectives = classes, objectives
	f.Gateways[index] = Gateway{Name: conf.Name, Config: path, Listen: conf.Listen}
	return nil
}
