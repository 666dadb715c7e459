package mysql

import "encoding/binary"

const (
	unsupportedStatementMessage = "the gateway keeps no transactions and no session settings"
	unknownStatementMessage     = "unknown prepared statement"
)

func (f *ServerConn) handleCommand(p packet) {
	if len(p.payload) == 0 || p.sequenceID != 0 {
		f.sendError(p.sequenceID+1, erMalformedPacket, "malformed command")
		return
	}
	arguments := &payloadReader{remaining: p.payload[1:]}
	switch p.payload[0] {
	case comQuit:
		f.closeConnection()
	case comPing:
		f.write(okPacket(1))
	case comInitDB:
		f.useSchema(string(arguments.remaining))
	case comQuery:
		f.handleQuery(string(arguments.remaining))
	case comStmtPrepare:
		f.handlePrepare(string(arguments.remaining))
	case comStmtExecute:
		f.handleExecute(arguments)
	case comStmtSendLongData:
		f.handleLongData(arguments) // has no response
	case comStmtClose:
		delete(f.statements, arguments.uint32()) // has no response
	case comStmtReset:
		f.handleReset(arguments)
	default:
		f.sendError(1, erUnknownCommand, "the gateway does not know this command")
	}
}

func (f *ServerConn) useSchema(schema string) {
	f.schema = schema
	f.write(okPacket(1))
}

// handleQuery handles COM_QUERY: statements about the session are answered here, all others run on an engine.
func (f *ServerConn) handleQuery(text string) {
	statement := stripLeadingComments(text)
	if match := setReplayKey.FindStringSubmatch(statement); match != nil {
		f.replayKey = match[1]
		f.write(okPacket(1))
		return
	}
	if match := useStatement.FindStringSubmatch(statement); match != nil {
		f.useSchema(match[1])
		return
	}
	switch {
	case ignoredSet.MatchString(statement):
		f.write(okPacket(1))
	case unsupportedStatement.MatchString(statement):
		f.sendError(1, erNotSupportedYet, unsupportedStatementMessage)
	default:
		f.startQuery(&Query{Text: text})
	}
}

// handlePrepare handles COM_STMT_PREPARE. The statement is kept here; an engine prepares it only when it first executes
// it.
func (f *ServerConn) handlePrepare(text string) {
	if unsupportedStatement.MatchString(stripLeadingComments(text)) {
		f.sendError(1, erNotSupportedYet, unsupportedStatementMessage)
		return
	}
	if len(f.statements) >= maxClientStatements {
		f.sendError(1, erMaxPreparedStatements, "too many prepared statements")
		return
	}
	f.lastStatementID++
	s := &statement{id: f.lastStatementID, text: text, params: countPlaceholders(text)}
	if s.params > maxStatementParams {
		f.sendError(1, erMalformedPacket, "too many parameters")
		return
	}
	f.statements[s.id] = s
	f.write(prepareResponse(s))
}

// prepareResponse builds the packets that answer COM_STMT_PREPARE. It gives no column definitions: no engine has seen
// the statement yet, and each result carries them.
func prepareResponse(s *statement) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{okHeader}, s.id)
	b = binary.LittleEndian.AppendUint16(b, 0) // number of columns
	b = binary.LittleEndian.AppendUint16(b, uint16(s.params))
	b = append(b, 0, 0, 0) // filler, number of warnings
	packets := frame(1, b)
	if s.params == 0 {
		return packets
	}
	sequenceID := byte(2)
	for range s.params {
		packets = append(packets, frame(sequenceID, paramDefinition)...)
		sequenceID++
	}
	return append(packets, eofPacket(sequenceID)...)
}

// paramDefinition is the column definition of a parameter that is not bound yet: as servers do, a string with the
// name "?".
var paramDefinition = append([]byte("\x03def\x00\x00\x00\x01?\x00\x0c\x3f\x00"), 0, 0, 0, 0, 0xfd, 0x80, 0, 0, 0, 0)

// handleExecute handles COM_STMT_EXECUTE. Long data serves one execute.
func (f *ServerConn) handleExecute(arguments *payloadReader) {
	s := f.statements[arguments.uint32()]
	if s == nil {
		f.sendError(1, erUnknownStatement, unknownStatementMessage)
		return
	}
	execution, ok := s.parseExecute(arguments)
	if !ok {
		f.sendError(1, erMalformedPacket, "malformed execute")
		return
	}
	s.clearLongData()
	f.startQuery(&Query{Text: s.text, Execution: execution})
}

// handleLongData handles COM_STMT_SEND_LONG_DATA. It has no response, so data that cannot be kept is dropped.
func (f *ServerConn) handleLongData(arguments *payloadReader) {
	s := f.statements[arguments.uint32()]
	param := arguments.uint16()
	if s == nil || arguments.malformed {
		return
	}
	s.appendLongData(param, arguments.remaining)
}

func (f *ServerConn) handleReset(arguments *payloadReader) {
	s := f.statements[arguments.uint32()]
	if s == nil {
		f.sendError(1, erUnknownStatement, unknownStatementMessage)
		return
	}
	s.clearLongData()
	f.write(okPacket(1))
}
