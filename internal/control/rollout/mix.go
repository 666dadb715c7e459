package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/rollout/rolloutpb"
)

// ExtensionKind identifies this subsystem among the extensions of membership.
const ExtensionKind = 2

// resendInterval is the time after which the own version is sent to a member again: datagrams are lost, and members restart.
const resendInterval = 20 * time.Second

// Mix tracks the versions that run in the fleet: each gateway piggybacks its own on membership datagrams, to every member at
// intervals. Its size depends on the number of members alone. It is not safe for concurrent use.
type Mix struct {
	own      ID
	sentAt   []time.Duration // when the own version was last sent to each member; 0 = never, or an older version
	received []ID            // the last version received from each member; zero = none yet
}

// NewMix returns the Mix of a gateway that runs the version own, in a fleet of so many members.
func NewMix(members int, own ID) *Mix {
	return &Mix{own: truncateID(own), sentAt: make([]time.Duration, members), received: make([]ID, members)}
}

// truncateID returns the upper halves, which are what is sent: they suffice to tell versions apart.
func truncateID(id ID) ID { return ID{id.Program >> 32, id.Settings >> 32} }

// Own sets the own version. A new one is sent to every member again.
func (m *Mix) Own(id ID) {
	if id = truncateID(id); id != m.own {
		m.own = id
		clear(m.sentAt)
	}
}

// Kind returns ExtensionKind, for membership's extensions.
func (m *Mix) Kind() uint32 { return ExtensionKind }

// Append appends the own version to dst if it was not sent to the member recently and fits into room bytes.
func (m *Mix) Append(now time.Duration, to, room int, dst []byte) []byte {
	if to < 0 || to >= len(m.sentAt) || m.sentAt[to] > 0 && now-m.sentAt[to] < resendInterval {
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
	m.sentAt[to] = now
	return out
}

// Receive records the version message of a member, and reports whether it is valid; an invalid one changes nothing.
func (m *Mix) Receive(member int, body []byte) bool {
	var v rolloutpb.Version
	if member < 0 || member >= len(m.received) || proto.Unmarshal(body, &v) != nil {
		return false
	}
	m.received[member] = ID{uint64(v.Program), uint64(v.Settings)}
	return true
}

// Count is the number of members that run a version.
type Count struct {
	ID      ID // the upper halves, as they are sent
	Members int
}

// Counts returns the versions of the members in service, most frequent first; the own gateway counts.
func (m *Mix) Counts(self int, serves func(member int) bool) (out []Count) {
	for i, id := range m.received {
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

// FormatCounts formats counts as one line for the log.
func FormatCounts(counts []Count) string {
	var out []string
	for _, c := range counts {
		out = append(out, fmt.Sprintf("%08x/%08x:%d", c.ID.Program, c.ID.Settings, c.Members))
	}
	return strings.Join(out, " ")
}
