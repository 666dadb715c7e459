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

// VersionTracker tracks the versions that run in the fleet: each gateway piggybacks its own on membership datagrams, to every member at
// intervals. Its size depends on the number of members alone. It is not safe for concurrent use.
type VersionTracker struct {
	own      VersionID
	sentAt   []time.Duration // when the own version was last sent to each member; 0 = never, or an older version
	received []VersionID     // the last version received from each member; zero = none yet
}

// NewVersionTracker returns the Mix of a gateway that runs the version own, in a fleet of so many members.
func NewVersionTracker(members int, own VersionID) *VersionTracker {
	return &VersionTracker{own: truncateID(own), sentAt: make([]time.Duration, members), received: make([]VersionID, members)}
}

// truncateID returns the upper halves, which are what is sent: they suffice to tell versions apart.
func truncateID(id VersionID) VersionID { return VersionID{id.Program >> 32, id.Settings >> 32} }

// SetOwn sets the own version. A new one is sent to every member again.
func (m *VersionTracker) SetOwn(id VersionID) {
	if id = truncateID(id); id != m.own {
		m.own = id
		clear(m.sentAt)
	}
}

// Kind returns ExtensionKind, for membership's extensions.
func (m *VersionTracker) Kind() uint32 { return ExtensionKind }

// Append appends the own version to dst if it was not sent to the member recently and fits into room bytes.
func (m *VersionTracker) Append(now time.Duration, to, room int, dst []byte) []byte {
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
func (m *VersionTracker) Receive(member int, body []byte) bool {
	var v rolloutpb.Version
	if member < 0 || member >= len(m.received) || proto.Unmarshal(body, &v) != nil {
		return false
	}
	m.received[member] = VersionID{uint64(v.Program), uint64(v.Settings)}
	return true
}

// VersionCount is the number of members that run a version.
type VersionCount struct {
	ID      VersionID // the upper halves, as they are sent
	Members int
}

// Counts returns the versions of the members in service, most frequent first; the own gateway counts.
func (m *VersionTracker) Counts(self int, serves func(member int) bool) (out []VersionCount) {
	for i, id := range m.received {
		if i == self {
			id = m.own
		}
		if id == (VersionID{}) || !serves(i) {
			continue
		}
		k := slices.IndexFunc(out, func(c VersionCount) bool { return c.ID == id })
		if k < 0 {
			out = append(out, VersionCount{ID: id})
			k = len(out) - 1
		}
		out[k].Members++
	}
	slices.SortStableFunc(out, func(a, b VersionCount) int { return b.Members - a.Members })
	return out
}

// FormatVersionCounts formats counts as one line for the log.
func FormatVersionCounts(counts []VersionCount) string {
	var out []string
	for _, c := range counts {
		out = append(out, fmt.Sprintf("%08x/%08x:%d", c.ID.Program, c.ID.Settings, c.Members))
	}
	return strings.Join(out, " ")
}
