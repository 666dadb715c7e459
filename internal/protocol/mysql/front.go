package mysql

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Account is a login and what its queries are.
type Account struct {
	User   string
	Hash   Hash
	Class  int
	Budget time.Duration
	Keyed  bool // its queries need a replay key
}

// Call is a query that a client asks for.
type Call struct {
	Account *Account
	Schema  string
	Text    string     // of the statement, prepared or not
	Key     string     // the replay key's literal, as it came
	Execute *Execution // nil for a plain query
}

// Event is something that the front asks of its driver: bytes to write, a query to run, or the end.
type Event struct {
	Write []byte
	Call  *Call
	Close bool
}

type stage uint8

const (
	greeted  stage = iota // a login is awaited
	switched              // its token is awaited
	ready
	running // a query is out: commands wait
	closed
)

// Front is one connection of a client.
type Front struct {
	accounts map[string]*Account
	scramble []byte
	stage    stage
	in       framer
	account  *Account
	user     string
	schema   string
	key      string
	nextID   uint32
	known    map[uint32]*statement
	events   []Event
}

// NewFront makes a Front and its greeting. The scramble is 20 bytes of chance without a zero.
func NewFront(accounts map[string]*Account, thread uint32, scramble []byte) (*Front, []byte) {
	f := &Front{accounts: accounts, scramble: scramble, in: framer{limit: maxCommand}, known: map[uint32]*statement{}}
	caps := uint32(capabilities)
	b := append([]byte{10}, "8.0.0-frostpier\x00"...)
	b = binary.LittleEndian.AppendUint32(b, thread)
	b = append(append(b, scramble[:8]...), 0, byte(caps), byte(caps>>8), charset, statusAuto, 0, byte(caps>>16), byte(caps>>24))
	b = append(append(b, byte(len(scramble)+1)), make([]byte, 10)...)
	b = append(append(b, scramble[8:]...), 0)
	return f, frame(0, append(b, nativePassword+"\x00"...))
}

// LoggedIn reports whether the client has shown who it is.
func (f *Front) LoggedIn() bool { return f.account != nil }

func (f *Front) write(b []byte) { f.events = append(f.events, Event{Write: b}) }

func (f *Front) fail(seq byte, code int, text string) { f.write(errorPacket(seq, code, text)) }

func (f *Front) end() {
	f.stage = closed
	f.events = append(f.events, Event{Close: true})
}

// Feed takes bytes in. While a query runs, the commands behind it wait.
func (f *Front) Feed(b []byte) []Event {
	if f.stage == closed {
		return nil
	}
	f.in.feed(b)
	if f.stage == running && len(f.in.buf) > maxCommand+headSize {
		f.end() // no client of a protocol that takes turns sends so much ahead
	}
	return f.work()
}

// Done says that the running query has its whole answer.
func (f *Front) Done() []Event {
	if f.stage == running {
		f.stage = ready
	}
	return f.work()
}

func (f *Front) work() []Event {
	for f.stage != closed && f.stage != running {
		p, ok, err := f.in.next()
		if err != nil {
			f.fail(f.nextSeq(), errTooBig, "the packet is larger than the gateway takes")
			f.end()
			break
		}
		if !ok {
			break
		}
		switch f.stage {
		case greeted:
			f.login(p)
		case switched:
			f.prove(p.seq+1, p.payload)
		case ready:
			f.command(p)
		}
	}
	out := f.events
	f.events = nil
	return out
}

// nextSeq is the number that an answer to what cannot be read has: that of an answer to a command, or to a login.
func (f *Front) nextSeq() byte {
	if f.stage == ready {
		return 1
	}
	return 2
}

func (f *Front) login(p packet) {
	c := cursor{b: p.payload}
	caps := c.u32()
	c.take(4 + 1 + 23)
	user := c.text()
	var proof []byte
	if caps&capAuthLenEnc != 0 {
		proof = c.take(c.lenenc())
	} else {
		proof = c.take(int(c.byte()))
	}
	if caps&capConnectDB != 0 {
		f.schema = c.text()
	}
	plugin := nativePassword
	if caps&capPluginAuth != 0 && len(c.b) > 0 {
		plugin = c.text()
	}
	if c.bad || caps&capProtocol41 == 0 {
		f.fail(p.seq+1, errMalformed, "malformed login")
		f.end()
		return
	}
	f.user = user
	if plugin != nativePassword {
		f.stage = switched
		ask := append([]byte{0xfe}, nativePassword+"\x00"...)
		f.write(frame(p.seq+1, append(append(ask, f.scramble...), 0)))
		return
	}
	f.prove(p.seq+1, proof)
}

func (f *Front) prove(seq byte, proof []byte) {
	account := f.accounts[f.user]
	if account == nil || !account.Hash.proves(f.scramble, proof) {
		f.fail(seq, errAccess, fmt.Sprintf("Access denied for user '%.32s'", f.user))
		f.end()
		return
	}
	f.account, f.stage = account, ready
	f.write(okPacket(seq))
}

func (f *Front) command(p packet) {
	if len(p.payload) == 0 || p.seq != 0 {
		f.fail(p.seq+1, errMalformed, "malformed command")
		return
	}
	c := &cursor{b: p.payload[1:]}
	switch p.payload[0] {
	case comQuit:
		f.end()
	case comPing:
		f.write(okPacket(1))
	case comInitDB:
		f.schema = string(c.b)
		f.write(okPacket(1))
	case comQuery:
		f.query(string(c.b))
	case comPrepare:
		f.prepare(string(c.b))
	case comExecute:
		f.execute(c)
	case comLongData:
		f.longData(c) // has no answer
	case comStmtClose:
		delete(f.known, c.u32()) // has no answer
	case comStmtReset:
		f.reset(c)
	default:
		f.fail(1, errUnknownCom, "the gateway does not know this command")
	}
}

func (f *Front) query(text string) {
	bare := plain(text)
	if m := setKey.FindStringSubmatch(bare); m != nil {
		f.key = m[1]
		f.write(okPacket(1))
		return
	}
	if m := useSchema.FindStringSubmatch(bare); m != nil {
		f.schema = m[1]
		f.write(okPacket(1))
		return
	}
	switch {
	case setHarmless.MatchString(bare):
		f.write(okPacket(1))
	case transaction.MatchString(bare):
		f.fail(1, errNotYet, "the gateway keeps no transactions and no session settings")
	default:
		f.run(&Call{Text: text})
	}
}

// run hands a query over; what a key is needed for does not run without.
func (f *Front) run(call *Call) {
	call.Account, call.Schema = f.account, f.schema
	if f.account.Keyed {
		if f.key == "" {
			f.fail(1, errFailed, "nothing ran: this account's loads need SET @replay_key='...' before each")
			return
		}
		call.Key, f.key = f.key, ""
	}
	f.stage = running
	f.events = append(f.events, Event{Call: call})
}

// prepare keeps the statement here: an engine learns of it only when it is executed.
func (f *Front) prepare(text string) {
	if transaction.MatchString(plain(text)) {
		f.fail(1, errNotYet, "the gateway keeps no transactions and no session settings")
		return
	}
	if len(f.known) >= maxStatements {
		f.fail(1, errTooManyStmt, "too many prepared statements")
		return
	}
	f.nextID++
	s := &statement{id: f.nextID, text: text, params: markers(text)}
	if s.params > 0xffff {
		f.fail(1, errMalformed, "too many parameters")
		return
	}
	f.known[s.id] = s
	b := binary.LittleEndian.AppendUint32([]byte{0}, s.id)
	b = binary.LittleEndian.AppendUint16(append(b, 0, 0), uint16(s.params)) // columns are told with each result
	out := frame(1, append(b, 0, 0, 0))
	seq := byte(2)
	for range s.params {
		out = append(out, frame(seq, paramDefinition)...)
		seq++
	}
	if s.params > 0 {
		out = append(out, eofPacket(seq)...)
	}
	f.write(out)
}

// paramDefinition describes a parameter: a text by the name "?", as servers do before one is bound.
var paramDefinition = append([]byte("\x03def\x00\x00\x00\x01?\x00\x0c\x3f\x00"), 0, 0, 0, 0, 0xfd, 0x80, 0, 0, 0, 0)

func (f *Front) execute(c *cursor) {
	s := f.known[c.u32()]
	if s == nil {
		f.fail(1, errUnknownStmt, "unknown prepared statement")
		return
	}
	e, ok := s.execute(c)
	if !ok {
		f.fail(1, errMalformed, "malformed execute")
		return
	}
	s.long, s.order, s.size = nil, nil, 0
	f.run(&Call{Text: s.text, Execute: e})
}

func (f *Front) longData(c *cursor) {
	s, n := f.known[c.u32()], c.u16()
	if s == nil || c.bad || int(n) >= s.params || s.size+len(c.b) > maxCommand {
		return // the execute will miss it, and fail
	}
	if s.long == nil {
		s.long = map[uint16][]byte{}
	}
	if _, again := s.long[n]; !again {
		s.order = append(s.order, n)
	}
	s.long[n] = append(s.long[n], c.b...)
	s.size += len(c.b)
}

func (f *Front) reset(c *cursor) {
	s := f.known[c.u32()]
	if s == nil {
		f.fail(1, errUnknownStmt, "unknown prepared statement")
		return
	}
	s.long, s.order, s.size = nil, nil, 0
	f.write(okPacket(1))
}

// Refusal, Deadline, Failure word the answers that are not an engine's.
func Refusal(back time.Duration) []byte {
	return errorPacket(1, errTooMany, fmt.Sprintf("Overloaded, trying again is harmless: come back in %d ms", back.Milliseconds()))
}

// Deadline says that the account's budget was over.
func Deadline() []byte { return errorPacket(1, errDeadline, "no answer within the account's budget") }

// Failure says that the query failed; it may have run.
func Failure() []byte { return errorPacket(1, errFailed, "the query failed and may have run") }
