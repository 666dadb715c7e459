package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/rollout/rolloutpb"
)

// RiderKind names this subsystem among membership's riders.
const RiderKind = 2

// againAfter is when a member that was told the own version is told again: datagrams are lost, and members start anew.
const againAfter = 20 * time.Second

// Mix is what a gateway knows of the versions in the fleet: each tells its own on membership's datagrams, to every member
// now and then. It grows by members alone.
type Mix struct {
	own  ID
	told []time.Duration // when each member was last told; 0 = never, or of a version since changed
	of   []ID            // what each member told last; zero = nothing yet
}

// NewMix makes one for a fleet of so many members.
func NewMix(members int, own ID) *Mix {
	return &Mix{own: short(own), told: make([]time.Duration, members), of: make([]ID, members)}
}

// short keeps the half that rides.
func short(id ID) ID { return ID{id.Program >> 32, id.Settings >> 32} }

// Own sets the own version.
func (m *Mix) Own(id ID) {
	if id = short(id); id != m.own {
		m.own = id
		clear(m.told)
	}
}

// Kind is for membership.
func (m *Mix) Kind() uint32 { return RiderKind }

// Ride writes the own version for a member that has not been told of late.
func (m *Mix) Ride(now time.Duration, to, room int, dst []byte) []byte {
	if to < 0 || to >= len(m.told) || m.told[to] > 0 && now-m.told[to] < againAfter {
		return dst
	}
	v := &rolloutpb.Version{Program: uint32(m.own.Program), Settings: uint32(m.own.Settings)}
	if proto.Size(v) > room {
		return dst
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, v)
	if err != nil {
		return dst
	}
	m.told[to] = now
	return out
}

// Hear takes a member's word; one that cannot be read changes nothing.
func (m *Mix) Hear(member int, body []byte) bool {
	var v rolloutpb.Version
	if member < 0 || member >= len(m.of) || proto.Unmarshal(body, &v) != nil {
		return false
	}
	m.of[member] = ID{uint64(v.Program), uint64(v.Settings)}
	return true
}

// Count is one version's part of the fleet.
type Count struct {
	ID      ID // the halves that ride
	Members int
}

// Counts are the versions that members in service told, most first; the own gateway counts.
func (m *Mix) Counts(self int, serves func(member int) bool) (out []Count) {
	for i, id := range m.of {
		if i == self {
			id = m.own
		}
		if id == (ID{}) || !serves(i) {
			continue
		}
		k := slices.IndexFunc(out, func(c Count) bool { return c.ID == id })
		if k < 0 {
			out = append(out, Count{ID: id})
			k = len(out) - 1
		}
		out[k].Members++
	}
	slices.SortStableFunc(out, func(a, b Count) int { return b.Members - a.Members })
	return out
}

// Words puts counts on one line for the log.
func Words(counts []Count) string {
	var out []string
	for _, c := range counts {
		out = append(out, fmt.Sprintf("%08x/%08x:%d", c.ID.Program, c.ID.Settings, c.Members))
	}
	return strings.Join(out, " ")
}
