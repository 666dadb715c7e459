package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/rollout/rolloutpb"
)

// ExtensionKind identifies the version messages among the membership extensions.
const ExtensionKind = 2

// resendInterval is the time after which a gateway sends its version to a member again, as datagrams get lost and members restart.
const resendInterval = 20 * time.Second

// VersionTracker tracks which version each member of the fleet runs. It is a membership extension: each gateway piggybacks its
// version on datagrams to every member, once per resendInterval. It is not safe for concurrent use.
type VersionTracker struct {
	local      VersionID
	lastSentAt []time.Duration // by member: when the current local version was last sent to it; 0 = never
	received   []VersionID     // by member: the last version received from it; zero = none yet
}

// NewVersionTracker returns the tracker of a gateway that runs the local version in a fleet with the given number of members.
func NewVersionTracker(members int, local VersionID) *VersionTracker {
	return &VersionTracker{local: truncateID(local), lastSentAt: make([]time.Duration, members), received: make([]VersionID, members)}
}

// truncateID returns the upper 32 bits of both hashes. Only these are sent, as they suffice to tell versions apart.
func truncateID(id VersionID) VersionID { return VersionID{id.Program >> 32, id.Settings >> 32} }

// SetLocal sets the version of this gateway. A changed version is sent to every member again.
func (t *VersionTracker) SetLocal(id VersionID) {
	if id = truncateID(id); id != t.local {
		t.local = id
		clear(t.lastSentAt)
	}
}

// Kind returns ExtensionKind. It implements membership.Extension.
func (t *VersionTracker) Kind() uint32 { return ExtensionKind }

// Append appends the local version to dst, unless it was sent to the member within resendInterval or needs more than maxBytes bytes.
func (t *VersionTracker) Append(now time.Duration, to, maxBytes int, dst []byte) []byte {
	if to < 0 || to >= len(t.lastSentAt) || t.lastSentAt[to] > 0 && now-t.lastSentAt[to] < resendInterval {
		return dst
	}
	v := &rolloutpb.Version{Program: uint32(t.local.Program), Settings: uint32(t.local.Settings)}
	if proto.Size(v) > maxBytes {
		return dst
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, v)
	if err != nil {
		return dst
	}
	t.lastSentAt[to] = now
	return out
}

// Receive records the version message of a member and reports whether it is valid. An invalid message is ignored.
func (t *VersionTracker) Receive(member int, body []byte) bool {
	var v rolloutpb.Version
	if member < 0 || member >= len(t.received) || proto.Unmarshal(body, &v) != nil {
		return false
	}
	t.received[member] = VersionID{uint64(v.Program), uint64(v.Settings)}
	return true
}

// VersionCount is the number of members that run a version.
type VersionCount struct {
	ID      VersionID // truncated by truncateID
	Members int
}

// Counts returns the number of members in service on each known version, the most frequent version first. self is the member
// number of this gateway.
func (t *VersionTracker) Counts(self int, inService func(member int) bool) (out []VersionCount) {
	for i, id := range t.received {
		if i == self {
			id = t.local
		}
		if id == (VersionID{}) || !inService(i) {
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

// FormatVersionCounts formats the counts for the log, as program/settings:members for each version.
func FormatVersionCounts(counts []VersionCount) string {
	var out []string
	for _, c := range counts {
		out = append(out, fmt.Sprintf("%08x/%08x:%d", c.ID.Program, c.ID.Settings, c.Members))
	}
	return strings.Join(out, " ")
}
