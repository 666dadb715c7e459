package simproto

// Record is an event or an action. It names its code and lists its fields once, for both reading and writing.
type Record interface {
	// code is the first byte of the encoded record.
	code() uint8
	// fields visits the fields in their order on the wire.
	fields(c *cursor)
}

// constructors make an empty record of each kind, by code.
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

// newRecord returns an empty record; nil for an unknown code.
func newRecord(code uint8) Record {
	construct := constructors[code]
	if construct == nil {
		return nil
	}
	return construct()
}

// EngineID is an engine's address: IPv4 and port.
type EngineID struct {
	IP   [4]byte
	Port uint16
}

// LoadReport is a load report of up to four metrics; the settings of the instance name them.
type LoadReport struct {
	Count  uint8 // number of values that are valid
	Values [maxLoadValues]float32
}

// EngineEntry is one engine in an EngineList.
type EngineEntry struct {
	Engine      EngineID
	Zone        uint8
	MachineType uint16
	Cell        uint16
	Health      uint8 // at most maxHealth
	Scale       float32
	Started     uint64 // ns of the simulator's clock
}
