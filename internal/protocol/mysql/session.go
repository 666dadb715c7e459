package mysql

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// maxSessionStatements is the maximum number of prepared statements of a pooled connection to an engine. A connection that has
// more is closed after use instead of being released.
const maxSessionStatements = 128

// session is the protocol state of one connection to an engine. It is kept with the connection between attempts.
type session struct {
	packets       framer
	authenticated bool
	responseSent  bool // the handshake response was sent
	connectionID  uint32
	schema        string
	replayKeySet  bool                    // an idempotency key of a query may be set
	statementIDs  map[statementKey]uint32 // the engine's statement ids
}

// statementKey identifies a statement that is prepared on a session. It is a hash, since sessions are kept between queries and would
// otherwise hold the texts of all their statements.
type statementKey [sha256.Size]byte

// newStatementKey returns the key of a statement. It depends on the schema, because names in a statement are resolved in the schema in
// which it was prepared.
func newStatementKey(schema, text string) statementKey {
	return sha256.Sum256([]byte(schema + "\x00" + text))
}

func newSession() *session {
	return &session{packets: framer{maxPayload: maxNonRowPacket}, statementIDs: map[statementKey]uint32{}}
}

// credentials are those of the gateway's account on the engines.
type credentials struct{ user, password string }

// engineError reports an ERR packet from an engine during the login.
type engineError struct{ code int }

// Error gives the engine's error code.
func (e *engineError) Error() string { return fmt.Sprintf("engine error %d", e.code) }

// handleLogin handles a packet of the connection phase and returns the response to it, if any. It sets authenticated when the
// engine accepts the login. An error is an *engineError or wraps errMalformedPacket.
func (s *session) handleLogin(p packet, account credentials) ([]byte, error) {
	if len(p.payload) == 0 {
		return nil, fmt.Errorf("%w: empty payload in the connection phase", errMalformedPacket)
	}
	switch header := p.payload[0]; {
	case header == errHeader:
		return nil, &engineError{code: errPacketCode(p.payload)}
	case !s.responseSent && header == handshakeVersion:
		return s.handshakeResponse(p, account)
	case s.responseSent && header == authSwitchHeader:
		return s.authSwitchResponse(p, account)
	case s.responseSent && header == okHeader:
		s.authenticated = true
		return nil, nil
	default:
		return nil, fmt.Errorf("%w: header %#x in the connection phase", errMalformedPacket, header)
	}
}

// handshakeResponse returns the Protocol::HandshakeResponse41 for a Protocol::HandshakeV10.
func (s *session) handshakeResponse(handshake packet, account credentials) ([]byte, error) {
	scramble, err := s.readHandshake(handshake.payload)
	if err != nil {
		return nil, err
	}
	s.responseSent = true
	auth := authResponse(scramble, account.password)
	b := binary.LittleEndian.AppendUint32(nil, capabilityFlags&^clientConnectWithDB)
	b = binary.LittleEndian.AppendUint32(b, maxPayload)
	b = append(b, collationUTF8MB4)
	b = append(b, make([]byte, handshakeFillerSize)...)
	b = append(b, account.user...)
	b = append(b, 0, byte(len(auth)))
	b = append(b, auth...)
	b = append(b, nativePassword+"\x00"...)
	return frame(handshake.sequenceID+1, b), nil
}

// readHandshake parses Protocol::HandshakeV10. It stores the connection id and returns the auth plugin data, which the packet
// contains in two parts.
func (s *session) readHandshake(payload []byte) (scramble []byte, err error) {
	r := payloadReader{remaining: payload[1:]}
	r.nulString() // server version
	s.connectionID = r.uint32()
	scramble = append(scramble, r.next(authPluginDataPart1Size)...)
	r.next(1 + 2 + 1 + 2 + 2) // filler, capability flags, character set, status flags, capability flags
	dataSize := int(r.byte())
	r.next(handshakeReservedSize)
	part2Size := max(authPluginDataPart2Min, dataSize-authPluginDataPart1Size)
	scramble = append(scramble, r.next(min(part2Size, len(r.remaining)))...)
	if r.malformed || len(scramble) < authPluginDataSize {
		return nil, fmt.Errorf("%w: invalid handshake", errMalformedPacket)
	}
	return scramble[:authPluginDataSize], nil
}

// authSwitchResponse returns the response to Protocol::AuthSwitchRequest. Only mysql_native_password is supported.
func (s *session) authSwitchResponse(request packet, account credentials) ([]byte, error) {
	r := payloadReader{remaining: request.payload[1:]}
	plugin := r.nulString()
	if plugin != nativePassword || len(r.remaining) < authPluginDataSize {
		return nil, fmt.Errorf("%w: auth switch to plugin %.40q", errMalformedPacket, plugin)
	}
	return frame(request.sequenceID+1, authResponse(r.remaining[:authPluginDataSize], account.password)), nil
}
