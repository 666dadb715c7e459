package simproto

// Record codes of the actions.
const (
	codeSendAttempt          = 64
	codeReject               = 65
	codeFail                 = 66
	codeCancelAttempt        = 67
	codeSetTimer             = 68
	codeHealthCheck          = 69
	codeCloseIdleConnections = 70
	codeSendPeerMessage      = 71
	codeLog                  = 72
	codeFatal                = 73
	codeSubscribe            = 74
	codeFetchEngineList      = 75
	codeSetResources         = 76
)

// Range of the action codes.
const (
	firstAction = codeSendAttempt
	lastAction  = codeSetResources
)

// SendAttempt sends an attempt of a request to an engine.
type SendAttempt struct {
	Instance uint32
	Request  uint32
	Engine   EngineID
	Timeout  uint64 // in nanoseconds
}

func (*SendAttempt) code() uint8 { return codeSendAttempt }

func (r *SendAttempt) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.engine(&r.Engine)
	c.u64(&r.Timeout)
}

// Reject ends a request with a rejection.
type Reject struct {
	Instance   uint32
	Request    uint32
	RetryAfter uint64 // ns, as sent to the client; 0 = none
}

func (*Reject) code() uint8 { return codeReject }

func (r *Reject) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.u64(&r.RetryAfter)
}

// Fail ends a request with an error that leaves open whether the request ran.
type Fail struct {
	Instance uint32
	Request  uint32
}

func (*Fail) code() uint8 { return codeFail }

func (r *Fail) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
}

// CancelAttempt cancels a running attempt.
type CancelAttempt struct {
	Instance uint32
	Request  uint32
	Attempt  uint16
}

func (*CancelAttempt) code() uint8 { return codeCancelAttempt }

func (r *CancelAttempt) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.u16(&r.Attempt)
}

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct {
	Instance uint32
	After    uint64 // delay in nanoseconds
	Token    uint64 // returned in TimerFired
}

func (*SetTimer) code() uint8 { return codeSetTimer }

func (r *SetTimer) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u64(&r.After)
	c.u64(&r.Token)
}

// HealthCheck requests a health check of an engine.
type HealthCheck struct {
	Instance uint32
	Engine   EngineID
}

func (*HealthCheck) code() uint8 { return codeHealthCheck }

func (r *HealthCheck) fields(c *cursor) {
	c.u32(&r.Instance)
	c.engine(&r.Engine)
}

// CloseIdleConnections closes the idle connections to an engine.
type CloseIdleConnections struct {
	Instance uint32
	Engine   EngineID
}

func (*CloseIdleConnections) code() uint8 { return codeCloseIdleConnections }

func (r *CloseIdleConnections) fields(c *cursor) {
	c.u32(&r.Instance)
	c.engine(&r.Engine)
}

// SendPeerMessage sends a message to another instance.
type SendPeerMessage struct {
	Instance uint32
	To       uint32 // number of the receiver
	Payload  []byte
}

func (*SendPeerMessage) code() uint8 { return codeSendPeerMessage }

func (r *SendPeerMessage) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.To)
	c.bytes(&r.Payload)
}

// Log writes a line to the simulator's report.
type Log struct {
	Instance uint32
	Text     []byte
}

func (*Log) code() uint8 { return codeLog }

func (r *Log) fields(c *cursor) {
	c.u32(&r.Instance)
	c.bytes(&r.Text)
}

// Fatal reports a fatal error in the decision module.
type Fatal struct {
	Instance uint32
	Text     []byte
}

func (*Fatal) code() uint8 { return codeFatal }

func (r *Fatal) fields(c *cursor) {
	c.u32(&r.Instance)
	c.bytes(&r.Text)
}

// Subscribe subscribes an instance to changes of the engine list, or ends its subscription.
type Subscribe struct {
	Instance uint32
	Enabled  uint8 // 1 = subscribe, 0 = unsubscribe
}

func (*Subscribe) code() uint8 { return codeSubscribe }

func (r *Subscribe) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u8(&r.Enabled)
}

// FetchEngineList requests the full list of engines once.
type FetchEngineList struct {
	Instance uint32
}

func (*FetchEngineList) code() uint8 { return codeFetchEngineList }

func (r *FetchEngineList) fields(c *cursor) {
	c.u32(&r.Instance)
}

// SetResources sets the memory grant and the priority of a request's attempts.
type SetResources struct {
	Instance uint32
	Request  uint32
	GrantMB  float32
	Priority uint8
}

func (*SetResources) code() uint8 { return codeSetResources }

func (r *SetResources) fields(c *cursor) {
	c.u32(&r.Instance)
	c.u32(&r.Request)
	c.f32(&r.GrantMB)
	c.u8(&r.Priority)
}
