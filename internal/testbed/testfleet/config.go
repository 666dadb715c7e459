package testfleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// FleetName is the fleet name that all test fleets use in the membership protocol.
const FleetName = "rig"

// defaultMaxDescriptors limits a gateway's file descriptors unless Options.MaxDescriptors is set.
const defaultMaxDescriptors = 512

// defaultSettings is the platform's settings object unless Options.Settings is set: one query class and no load reports of
// engines. Its arguments are the number of gateways and the index of the gateway.
const defaultSettings = `{"classes":[{"name":"lookup","objective":800000000,"give_up":4000000000,"repeat":"retryable","worth":1}],
"family_info":{"cores_by_kind":[12],"threads_by_class":[1],"is_load":[false]},"models":["m"],"zones":["z"],
"permissions":{"attempts_cap":4,"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_open":20000,
"max_retry_after":500000000,"peer_messages":true},
"report":{"fields":["queue","inflight"],"via":"answers"},
"rules":{"answer_slack":20000000,"drain_grace":2000000000,"free_resends":2,"extra_share":0.1,"ratio_span":5000000000},
"siblings":%d,"self_index":%d,"tick":5000000}`

// config writes the configuration that the platform would provide if the gateway started now, and returns its path.
func (f *Fleet) config(i int) (path string, err error) {
	var peers []string
	for _, addr := range f.Relay.Addrs() {
		peers = append(peers, addr.String())
	}
	settings := fmt.Sprintf(defaultSettings, f.options.members(), i)
	if f.options.Settings != nil {
		settings = f.options.Settings(f.options.members(), i)
	}
	text, err := json.Marshal(map[string]any{
		"name":        fmt.Sprintf("n%d", i),
		"listen":      f.clientAddrs[i].String(),
		"seed":        fmt.Sprintf("%x", f.options.Seed*1000+uint64(i)+1),
		"limits":      map[string]any{"cores": 1, "memory_mb": 192, "sockets": cmp.Or(f.options.MaxDescriptors, defaultMaxDescriptors)},
		"peer_listen": f.peerAddrs[i].String(),
		"peers":       peers,
		"bulletin":    f.Discovery.Addr(),
		"known":       f.Discovery.InitialEvents(),
		"settings":    json.RawMessage(settings),
	})
	if err != nil {
		return "", fmt.Errorf("configuration: %w", err)
	}
	path = filepath.Join(f.options.Dir, fmt.Sprintf("n%d.json", i))
	return path, os.WriteFile(path, text, 0o600)
}

// writeOperator writes the operator's file, which all gateways share.
func (f *Fleet) writeOperator() error {
	text := fmt.Sprintf("[membership]\nfleet = %q\n", FleetName)
	if f.options.Interval > 0 {
		text += fmt.Sprintf("interval_ms = %d\n", f.options.Interval.Milliseconds())
	}
	return os.WriteFile(f.operatorFile, []byte(text+f.options.Operator), 0o600)
}
