package mysql

import (
	"encoding/binary"
	"fmt"
)

// maxPrepared bounds what a connection to an engine keeps prepared; one that has more is closed after use.
const maxPrepared = 128

// session is what is known of a connection to an engine; it stays with the connection while it is idle.
type session struct {
	in       framer
	ready    bool
	answered bool // a login token went out
	thread   uint32
	schema   string
	prepared map[string]uint32
}

func newSession() *session {
	return &session{in: framer{limit: maxControl}, prepared: map[string]uint32{}}
}

// login is the engine's account.
type login struct{ user, password string }

// greet takes a packet of the login and returns what to answer; ready is set once the engine has let us in.
func (s *session) greet(p packet, l login) ([]byte, error) {
	switch {
	case len(p.payload) == 0:
		return nil, fmt.Errorf("%w: empty at login", errPacket)
	case p.payload[0] == 0xff:
		return nil, &engineError{code: errorCode(p.payload)}
	case !s.answered && p.payload[0] == 10:
		return s.respond(p, l)
	case s.answered && p.payload[0] == 0xfe:
		return s.switchTo(p, l)
	case s.answered && p.payload[0] == 0:
		s.ready = true
		return nil, nil
	}
	return nil, fmt.Errorf("%w: %#x at login", errPacket, p.payload[0])
}

// engineError is an error packet.
type engineError struct{ code int }

func (e *engineError) Error() string { return fmt.Sprintf("the engine says error %d", e.code) }

func (s *session) respond(p packet, l login) ([]byte, error) {
	c := cursor{b: p.payload[1:]}
	c.text() // version
	s.thread = c.u32()
	scramble := append([]byte(nil), c.take(8)...)
	c.take(1 + 2 + 1 + 2 + 2)
	size := int(c.byte())
	c.take(10)
	scramble = append(scramble, c.take(min(max(13, size-8), len(c.b)))...)
	if c.bad || len(scramble) < 20 {
		return nil, fmt.Errorf("%w: greeting", errPacket)
	}
	s.answered = true
	proof := token(scramble[:20], l.password)
	b := binary.LittleEndian.AppendUint32(nil, capabilities&^capConnectDB)
	b = binary.LittleEndian.AppendUint32(b, fullPayload)
	b = append(append(b, charset), make([]byte, 23)...)
	b = append(append(b, l.user...), 0, byte(len(proof)))
	b = append(append(b, proof...), nativePassword+"\x00"...)
	return frame(p.seq+1, b), nil
}

func (s *session) switchTo(p packet, l login) ([]byte, error) {
	c := cursor{b: p.payload[1:]}
	if plugin := c.text(); plugin != nativePassword || len(c.b) < 20 {
		return nil, fmt.Errorf("%w: the engine wants %.40q", errPacket, plugin)
	}
	return frame(p.seq+1, token(c.b[:20], l.password)), nil
}
