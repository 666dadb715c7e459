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

// ListCost is what a whole list of engines costs the gateway that takes it in.
type ListCost struct {
	Bytes  float64 // on the wire
	Parse  float64 // processor seconds: bytes to lines
	Apply  float64 // processor seconds: lines into core and decision module
	Memory float64 // bytes that core and module hold afterwards
}

const engineKind = "m"

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// engineList is a whole list as discovery's server sends it.
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

// newCore makes the gatewayCore of a gateway at the target's settings.
func newCore() (*core.Core, error) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	host := settings.Host{ComeBack: time.Second, Models: []string{engineKind}, MaxOpen: 20_000, Module: decisionSettings(800)}
	for zone := range zoneCount {
		host.Zones = append(host.Zones, zoneName(zone))
	}
	host.Module.Zones = zoneCount
	return core.New(host, 1, log, invariant.New(log))
}

// EngineList measures a whole list: repeats takes it again and again, as a reconnection of the watcher brings it.
func EngineList(engines, repeats int) (ListCost, error) {
	before := liveMemory()
	gatewayCore, err := newCore()
	if err != nil {
		return ListCost{}, err
	}
	stream := &discovery.Stream{}
	var out ListCost
	for k := range repeats {
		text := engineList(k+1, engines)
		out.Bytes = float64(len(text))
		began := processorTime()
		events, err := stream.Feed(text)
		parsed := processorTime()
		if err != nil {
			return out, err
		}
		for _, event := range events {
			gatewayCore.UpdateEngines(virtualEpoch+time.Duration(k)*time.Second, event.Full, event.Engines)
		}
		out.Parse += (parsed - began).Seconds() / float64(repeats)
		out.Apply += (processorTime() - parsed).Seconds() / float64(repeats)
	}
	out.Memory = liveMemory() - before
	runtime.KeepAlive(gatewayCore)
	runtime.KeepAlive(stream)
	return out, nil
}
