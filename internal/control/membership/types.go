package membership

import "time"

// State is the state of a member in this member's view.
type State uint8

// The states, in the order in which one overrides another of the same incarnation (SWIM section 4.2).
const (
	None    State = iota // no state
	Alive                // in service; at incarnation 0 presumed from the configuration, without any contact yet
	Suspect              // did not answer; in service until the suspicion times out
	Dead                 // declared dead
	Left                 // announced that it leaves
)

// String returns the name of the state in the log; empty for an unknown one.
func (s State) String() string {
	return [...]string{"none", "alive", "suspect", "dead", "left", "", "", ""}[s&7]
}

// InService reports whether a member in this state counts as in service.
func (s State) InService() bool { return s == Alive || s == Suspect }

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	StateChanged      EventKind = iota // the state of a member changed
	Refuted                            // this member refuted an update on itself
	ExtensionReceived                  // a message of an Extension arrived
)

// Event reports something that the host acts on or logs.
type Event struct {
	Kind               EventKind
	Member             int    // whose state changed; the sender of an extension message
	OldState, NewState State  // of Changed: the state before and after. Of Refuted: the state refuted, and the own state
	Incarnation        uint64 // of Changed and Refuted
	ReportedBy         int    // the member that reported it, -1 where unknown
	ExtensionKind      uint32 // of ExtensionReceived: Extension.Kind ...
	Body               []byte // ... and the message, valid until the next call
}

// Datagram is a datagram to send.
type Datagram struct {
	To    int    // member number of the receiver
	Bytes []byte // valid until the next call
}

// Counts are totals since New. A datagram that was dropped had no effect at all.
type Counts struct {
	Sent, Received           uint64 // datagrams
	SentBytes, ReceivedBytes uint64
	Probes, ProbesFailed     uint64
	Suspected, Refuted       uint64 // members suspected after an own probe; updates on this member that it refuted
	Late                     uint64 // pauses of this member: a Tick or datagram that came late
	Syncs                    uint64 // requests for the full state
	Postponed                uint64 // rounds of gossip, and datagrams for extensions, that the byte budget postponed
	Strangers                uint64 // dropped: from an address of no peer, or with the member number of another
	Oversize                 uint64 // dropped: longer than MaxDatagram
	Malformed                uint64 // dropped: wrong checksum or form
	OtherFleet               uint64 // dropped: of another fleet
	TooNew                   uint64 // dropped: this version cannot read it
	Unknown                  uint64 // unknown kinds, states and member numbers that were skipped
}

// noMember stands for a member number where there is no member.
const noMember = -1

// member is this member's view of one member, itself included.
type member struct {
	state            State
	incarnation      uint64
	reportedBy       int32         // the member that reported the state first; noMember where unknown
	retransmits      int16         // left of the update on it; it is in the broadcast queue while above 0
	lastContactAt    time.Duration // when its last datagram arrived
	lastNoticeAt     time.Duration // when it was last sent a notice
	staleIncarnation bool          // its last datagram had an incarnation below the known one
	suspicion
}
