package measure

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/settings"
)

// ListCost is the cost of a full list of engines at one gateway.
type ListCost struct {
	Bytes  float64 // length of the list on the wire
	Parse  float64 // CPU seconds to parse the list
	Apply  float64 // CPU seconds to apply the list to core and decision module
	Memory float64 // bytes used by core and decision module afterwards
}

// engineKind is the only machine type in the list.
const engineKind = "m"

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// engineList returns the event with the given number, in which the discovery server sends a full list.
func engineList(number, engines int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"no":%d,"roster":{"reset":true,"instances":[`, number)
	for i := range engines {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"instanceId":%q,"hostPort":"10.%d.%d.7:18080","zone":%q,"machineType":%q,"cell":%d,`+
			`"lifecycle":"in_service","weight":1,"startedAtMs":%d}`, engineName(i), i/250, i%250, zoneName(i%zoneCount),
			engineKind, i%4, 1_700_000_000_000+i)
	}
	text.WriteString("]}}\n")
	return []byte(text.String())
}

// newCore returns the core of a gateway in a fleet of the target's size.
func newCore() (*core.Core, error) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	host := settings.Host{MaxRetryAfter: time.Second, MachineTypes: []string{engineKind}, MaxPending: 20_000, Policy: decisionSettings(800)}
	for zone := range zoneCount {
		host.Zones = append(host.Zones, zoneName(zone))
	}
	host.Policy.Zones = zoneCount
	return core.New(host, 1, log, invariant.New(log))
}

// EngineList measures the cost of a full list. It applies the list the given number of times, as a reconnecting watcher
// does, and returns the mean.
func EngineList(engines, repeats int) (ListCost, error) {
	before := liveMemory()
	gatewayCore, err := newCore()
	if err != nil {
		return ListCost{}, err
	}
	stream := &discovery.Stream{}
	var cost ListCost
	for repeat := range repeats {
		text := engineList(repeat+1, engines)
		cost.Bytes = float64(len(text))
		started := processorTime()
		events, err := stream.Feed(text)
		parsed := processorTime()
		if err != nil {
			return cost, err
		}
		for _, event := range events {
			gatewayCore.UpdateEngines(virtualEpoch+time.Duration(repeat)*time.Second, event.Full, event.Engines)
		}
		cost.Parse += (parsed - started).Seconds() / float64(repeats)
		cost.Apply += (processorTime() - parsed).Seconds() / float64(repeats)
	}
	cost.Memory = liveMemory() - before
	runtime.KeepAlive(gatewayCore)
	runtime.KeepAlive(stream)
	return cost, nil
}
