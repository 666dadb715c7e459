package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"frostpier/internal/settings"
)

// Gateway is one gateway of the fleet, as its configuration has it.
type Gateway struct {
	Name   string
	Config string // the configuration's absolute path, which identifies its process
	Listen string // the address to which clients connect
}

// Fleet is the gateways that a plan changes.
type Fleet struct {
	Gateways          []Gateway // by their numbers
	Classes           []string
	LatencyObjectives []time.Duration `json:"Aims"` // of the classes
}

// FleetError says which configuration makes a fleet unusable.
type FleetError struct {
	Path   string // of the configuration; empty where none is to blame alone
	Key    string // of the configuration or the plan; empty where the configuration cannot be read
	Value  any    // of the key
	Reason string
	Err    error // the cause; nil if there is none beside Reason
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

// Unwrap returns the cause.
func (e *FleetError) Unwrap() error { return e.Err }

// ReadFleet reads the configurations that match a glob, one for each gateway. Errors are *FleetError.
func ReadFleet(pattern string) (Fleet, error) {
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		return Fleet{}, &FleetError{Key: "configs", Value: pattern, Reason: fmt.Sprintf("%q names no file", pattern), Err: err}
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
	number, gateways := host.Policy.GatewayIndex, len(f.Gateways)
	switch {
	case host.Policy.Gateways != gateways || number < 0 || number >= gateways:
		return invalid("self_index", number, "number %d of %d, there are %d configurations", number, host.Policy.Gateways, gateways)
	case f.Gateways[number].Config != "":
		return invalid("self_index", number, "number %d is %s's", number, f.Gateways[number].Name)
	case f.Classes != nil && !slices.Equal(f.Classes, classes):
		return invalid("classes", classes, "its classes are not the others'")
	}
	f.Classes, f.LatencyObjectives = classes, objectives
	f.Gateways[number] = Gateway{Name: conf.Name, Config: path, Listen: conf.Listen}
	return nil
}
