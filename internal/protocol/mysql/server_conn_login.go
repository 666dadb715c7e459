package mysql

import (
	"encoding/binary"
	"fmt"
)

// serverVersion is the server version in the handshake.
const serverVersion = "8.0.0-frostpier"

// handshakePacket returns Protocol::HandshakeV10.
func handshakePacket(connectionID uint32, scramble []byte) []byte {
	flags := uint32(capabilityFlags)
	b := []byte{handshakeVersion}
	b = append(b, serverVersion+"\x00"...)
	b = binary.LittleEndian.AppendUint32(b, connectionID)
	b = append(b, scramble[:authPluginDataPart1Size]...)
	b = append(b, 0) // filler
	b = binary.LittleEndian.AppendUint16(b, uint16(flags))
	b = append(b, collationUTF8MB4)
	b = binary.LittleEndian.AppendUint16(b, serverStatusAutocommit)
	b = binary.LittleEndian.AppendUint16(b, uint16(flags>>16))
	b = append(b, byte(len(scramble)+1))
	b = append(b, make([]byte, handshakeReservedSize)...)
	b = append(b, scramble[authPluginDataPart1Size:]...)
	b = append(b, 0)
	b = append(b, nativePassword+"\x00"...)
	return frame(0, b)
}

// handshakeResponse holds the fields of Protocol::HandshakeResponse41 that the gateway uses.
type handshakeResponse struct {
	user   string
	auth   []byte
	schema string
	plugin string // authentication plugin that the client used
}

// parseHandshakeResponse parses a handshake response. ok is false if it is malformed or of an older protocol.
func parseHandshakeResponse(payload []byte) (response handshakeResponse, ok bool) {
	r := payloadReader{remaining: payload}
	flags := r.uint32()
	r.next(4 + 1 + handshakeFillerSize) // maximum packet size, character set, filler
	response.user = r.nulString()
	if flags&clientPluginAuthLenencData != 0 {
		response.auth = r.next(r.lenencInt())
	} else {
		response.auth = r.next(int(r.byte()))
	}
	if flags&clientConnectWithDB != 0 {
		response.schema = r.nulString()
	}
	response.plugin = nativePassword
	if flags&clientPluginAuth != 0 && len(r.remaining) > 0 {
		response.plugin = r.nulString()
	}
	return response, !r.malformed && flags&clientProtocol41 != 0
}

// handleHandshakeResponse authenticates the client, or first requests a switch to mysql_native_password.
func (c *ServerConn) handleHandshakeResponse(p packet) {
	response, ok := parseHandshakeResponse(p.payload)
	if !ok {
		c.sendError(p.sequenceID+1, erMalformedPacket, "malformed login")
		c.closeConnection()
		return
	}
	if len(response.schema) > maxSchemaBytes {
		c.sendError(p.sequenceID+1, erTooLongIdentifier, schemaTooLongMessage)
		c.closeConnection()
		return
	}
	c.user, c.schema = response.user, response.schema
	if response.plugin != nativePassword {
		c.state = stateAuthSwitch
		c.write(authSwitchRequest(p.sequenceID+1, c.scramble))
		return
	}
	c.authenticate(p.sequenceID+1, response.auth)
}

// authSwitchRequest returns Protocol::AuthSwitchRequest for mysql_native_password.
func authSwitchRequest(sequenceID byte, scramble []byte) []byte {
	b := []byte{authSwitchHeader}
	b = append(b, nativePassword+"\x00"...)
	b = append(b, scramble...)
	return frame(sequenceID, append(b, 0))
}

func (c *ServerConn) authenticate(sequenceID byte, auth []byte) {
	account := c.accounts[c.user]
	if account == nil || !account.PasswordHash.verify(c.scramble, auth) {
		c.sendError(sequenceID, erAccessDenied, fmt.Sprintf("Access denied for user '%.32s'", c.user))
		c.closeConnection()
		return
	}
	c.account, c.state = account, stateReady
	c.write(okPacket(sequenceID))
}
