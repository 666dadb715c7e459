package simproto

// Record is an event or an action.
type Record interface {
	// code returns the record code, which is the first byte of the encoded record.
	code() uint8
	// fields reads or writes all fields, in wire order, with c. It serves both directions, so that they cannot differ.
	fields(c *cursor)
}

// constructors contains, for each record code, a function that returns an empty record.
var constructors = constructorsByCode(
	func() Record { return new(EngineList) },
	func() Record { return new(Progress) },
	func() Record { return new(ResponseStarted) },
	func() Record { return new(StartInstance) },
	func() Record { return new(RequestArrived) },
	func() Record { return new(HealthCheckEnded) },
	func() Record { return new(PeerMessage) },
	func() Record { return new(ClientGone) },
	func() Record { return new(EngineListChanged) },
	func() Record { return new(StopInstance) },
	func() Record { return new(AttemptEnded) },
	func() Record { return new(TimerFired) },
	func() Record { return new(SendAttempt) },
	func() Record { return new(Reject) },
	func() Record { return new(Fail) },
	func() Record { return new(CancelAttempt) },
	func() Record { return new(SetTimer) },
	func() Record { return new(HealthCheck) },
	func() Record { return new(CloseIdleConnections) },
	func() Record { return new(SendPeerMessage) },
	func() Record { return new(Log) },
	func() Record { return new(Fatal) },
	func() Record { return new(Subscribe) },
	func() Record { return new(FetchEngineList) },
	func() Record { return new(SetResources) },
)

func constructorsByCode(list ...func() Record) (byCode [256]func() Record) {
	for _, construct := range list {
		byCode[construct().code()] = construct
	}
	return byCode
}

// newRecord returns an empty record with the given code, or nil if the code is unknown.
func newRecord(code uint8) Record {
	construct := constructors[code]
	if construct == nil {
		return nil
	}
	return construct()
}

// EngineID identifies an engine by its IPv4 address and port.
type EngineID struct {
	IP   [4]byte
	Port uint16
}

// LoadReport is a load report with up to four values. The settings of the instance say which metric each value holds.
type LoadReport struct {
	Count  uint8 // number of valid values
	Values [maxLoadValues]float32
}

// EngineEntry is one engine in an EngineList.
type EngineEntry struct {
	Engine      EngineID
	Zone        uint8
	MachineType uint16
	Cell        uint16
	Health      uint8   // at most maxHealth
	Scale       float32 // size relative to other engines
	Started     uint64  // ns of the simulator's clock
}
