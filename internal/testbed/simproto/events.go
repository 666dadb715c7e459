package simproto

// Record codes of the events.
const (
	codeEngineList        = 0
	codeProgress          = 1
	codeResponseStarted   = 2
	codeStartInstance     = 3
	codeRequestArrived    = 4
	codeHealthCheckEnded  = 5
	codePeerMessage       = 6
	codeClientGone        = 7
	codeEngineListChanged = 8
	codeStopInstance      = 9
	codeAttemptEnded      = 10
	codeTimerFired        = 11
)

// Range of the event codes.
const (
	firstEvent = codeEngineList
	lastEvent  = codeTimerFired
)

// Flags of RequestArrived.
const (
	FlagEstimatedWork = 1 << 0 // EstimatedWork is valid
	FlagClientRetry   = 1 << 1 // the client has sent this request before
)

// EngineList defines or replaces a numbered list of engines. It is shared by all instances; EngineListChanged refers to
// it by its number.
type EngineList struct {
	Number  uint16 // number of the list; its range is checked by the receiver
	Entries []EngineEntry
}

func (*EngineList) code() uint8 { return codeEngineList }

func (r *EngineList) fields(c *cursor) {
	c.u16(&r.Number)
	c.entries(&r.Entries)
}

// Progress reports the progress of a running attempt.
type Progress struct {
	Instance uint32
	Request  uint32
	Attempt  uint16
	Engine   EngineID
	Kind     uint8 // meaning of Value; 1 = completed share of the work
	Value    float32
}

func (*Progress) code() uint8 { return codeProgress }

func (r *Progress) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.u16(&r.Attempt)
	c.engine(&r.Engine)
	c.u8(&r.Kind)
	c.f32(&r.Value)
}

// ResponseStarted reports that the response of an attempt has started to stream.
type ResponseStarted struct {
	Instance uint32
	Request  uint32
	Elapsed  uint64 // in nanoseconds
	Engine   EngineID
	Attempt  uint16
}

func (*ResponseStarted) code() uint8 { return codeResponseStarted }

func (r *ResponseStarted) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.u64(&r.Elapsed)
	c.engine(&r.Engine)
	c.u16(&r.Attempt)
}

// StartInstance starts an instance of the decision module.
type StartInstance struct {
	Instance uint32
	Seed     uint64 // seed of the instance's random number generator
	Settings []byte // JSON, see package settings
}

func (*StartInstance) code() uint8 { return codeStartInstance }

func (r *StartInstance) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u64(&r.Seed)
	c.bytes(&r.Settings)
}

// RequestArrived reports a new request from a client.
type RequestArrived struct {
	Instance          uint32
	Request           uint32
	Flags             uint8  // FlagEstimatedWork, FlagClientRetry
	Key               uint64 // idempotency key; 0 = none
	EstimatedMemoryMB float32
	Class             uint16
	Tenant            uint16
	TableGroup        float32 // may be any float, including NaN; the receiver checks it
	EstimatedWork     uint64  // ns, valid with FlagEstimatedWork
	Remaining         uint64  // ns until the client gives up
}

func (*RequestArrived) code() uint8 { return codeRequestArrived }

func (r *RequestArrived) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.u8(&r.Flags)
	c.u64(&r.Key)
	c.f32(&r.EstimatedMemoryMB)
	c.u16(&r.Class)
	c.u16(&r.Tenant)
	c.f32(&r.TableGroup)
	c.u64(&r.EstimatedWork)
	c.u64(&r.Remaining)
}

// HealthCheckEnded reports the result of a health check.
type HealthCheckEnded struct {
	Instance uint32
	Engine   EngineID
	Outcome  uint16 // outcome code
	Duration uint64 // in nanoseconds
	Report   LoadReport
}

func (*HealthCheckEnded) code() uint8 { return codeHealthCheckEnded }

func (r *HealthCheckEnded) fields(c *cursor) {
	c.u32(&r.Instance)
	c.engine(&r.Engine)
	c.u16(&r.Outcome)
	c.u64(&r.Duration)
	c.loadReport(&r.Report)
}

// PeerMessage delivers a message from another instance.
type PeerMessage struct {
	Instance uint32
	From     uint16 // number of the sender
	Payload  []byte
}

func (*PeerMessage) code() uint8 { return codePeerMessage }

func (r *PeerMessage) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u16(&r.From)
	c.bytes(&r.Payload)
}

// ClientGone reports that the client no longer waits for a request.
type ClientGone struct {
	Instance uint32
	Request  uint32
}

func (*ClientGone) code() uint8 { return codeClientGone }

func (r *ClientGone) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
}

// EngineListChanged delivers an engine list, or a change of it, to an instance.
type EngineListChanged struct {
	Instance uint32
	List     uint16 // number of an EngineList
	Version  uint64
	Kind     uint8 // cached, failed, full or delta
}

func (*EngineListChanged) code() uint8 { return codeEngineListChanged }

func (r *EngineListChanged) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u16(&r.List)
	c.u64(&r.Version)
	c.u8(&r.Kind)
}

// StopInstance stops an instance and discards its state.
type StopInstance struct {
	Instance uint32
}

func (*StopInstance) code() uint8 { return codeStopInstance }

func (r *StopInstance) fields(c *cursor) {
	c.u32(&r.Instance)
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Instance uint32
	Request  uint32
	Attempt  uint16
	Engine   EngineID
	Outcome  uint16 // outcome code
	Duration uint64 // in nanoseconds
	Terminal uint8  // 1 = the request has ended
	Usage    uint32 // work and memory that the attempt used, packed into one integer; 0 = not reported
	Report   LoadReport
}

func (*AttemptEnded) code() uint8 { return codeAttemptEnded }

func (r *AttemptEnded) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.u16(&r.Attempt)
	c.engine(&r.Engine)
	c.u16(&r.Outcome)
	c.u64(&r.Duration)
	c.u8(&r.Terminal)
	c.u32(&r.Usage)
	c.loadReport(&r.Report)
}

// TimerFired reports that a timer set by SetTimer has expired.
type TimerFired struct {
	Instance uint32
	Token    uint64
}

func (*TimerFired) code() uint8 { return codeTimerFired }

func (r *TimerFired) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u64(&r.Token)
}
