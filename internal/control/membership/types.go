package membership

import "time"

// State is the state of a member in the local member's view.
type State uint8

// The states. Within an incarnation a later state in this list overrides an earlier one (SWIM section 4.2).
const (
	None    State = iota // the zero value; no member has it
	Alive                // in service; incarnation 0 means presumed alive from the configuration, not heard from yet
	Suspect              // did not answer a probe; in service until the suspicion times out
	Dead                 // declared dead after a suspicion timed out
	Left                 // announced a graceful leave
)

// String returns the name of the state as logged, or an empty string for an unknown state.
func (s State) String() string {
	return [...]string{"none", "alive", "suspect", "dead", "left", "", "", ""}[s&7]
}

// InService reports whether a member in this state counts as in service.
func (s State) InService() bool { return s == Alive || s == Suspect }

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	StateChanged      EventKind = iota // the state of another member changed, or this member left
	Refuted                            // this member refuted an update about itself
	ExtensionReceived                  // a datagram contained a message for an Extension
)

// Event reports a membership change or a received extension message to the caller.
type Event struct {
	Kind               EventKind
	Member             int    // the member whose state changed, or the sender of an extension message
	OldState, NewState State  // StateChanged: the states before and after. Refuted: the refuted state and this member's state
	Incarnation        uint64 // StateChanged and Refuted: the incarnation of Member
	ReportedBy         int    // the member that reported the event, -1 if unknown
	ExtensionKind      uint32 // ExtensionReceived: the Extension.Kind of the message
	Body               []byte // ExtensionReceived: the message, valid until the next call of the Node
}

// Datagram is an outgoing datagram.
type Datagram struct {
	To    int    // member number of the receiver
	Bytes []byte // valid until the next call of the Node
}

// Counts holds counters since New. A dropped datagram changes nothing but its counter. The field names are written to
// the log.
type Counts struct {
	Sent, Received           uint64 // datagrams
	SentBytes, ReceivedBytes uint64
	Probes, ProbesFailed     uint64
	Suspected, Refuted       uint64 // suspicions after a failed probe by this member; updates about itself that it refuted
	Late                     uint64 // calls of Tick or Receive so late that the local health score rose
	Syncs                    uint64 // requests for the full state sent
	Postponed                uint64 // rounds of gossip and extension datagrams deferred by the byte budget
	Strangers                uint64 // dropped: the source address is not a peer's, or does not match the member number
	Oversize                 uint64 // dropped: longer than MaxDatagramSize
	Malformed                uint64 // dropped: checksum mismatch, decoding error, or a field out of range
	OtherFleet               uint64 // dropped: sent by a member of another fleet
	TooNew                   uint64 // dropped: requires a later protocol version
	Unknown                  uint64 // unknown kinds, states and member numbers, skipped in otherwise valid datagrams
}

// noMember is the member number that means "no member".
const noMember = -1

// member is the local view of one member. Each Node has one for every member, itself included.
type member struct {
	state            State
	incarnation      uint64
	reportedBy       int32         // the member that first reported the state; noMember if unknown
	retransmits      int16         // remaining transmissions of the update about it; it is in the broadcast queue while above 0
	lastContactAt    time.Duration // when its last datagram arrived
	lastNoticeAt     time.Duration // when a notice of its own state was last queued
	staleIncarnation bool          // its last datagram had an incarnation below the known one
	suspicion
}
