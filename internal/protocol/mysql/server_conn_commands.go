package mysql

import "encoding/binary"

const (
	unsupportedStatementMessage = "the gateway keeps no transactions and no session settings"
	unknownStatementMessage     = "unknown prepared statement"
	schemaTooLongMessage        = "the name of the schema is too long"
)

func (c *ServerConn) handleCommand(p packet) {
	if len(p.payload) == 0 || p.sequenceID != 0 {
		c.sendError(p.sequenceID+1, erMalformedPacket, "malformed command")
		return
	}
	arguments := &payloadReader{remaining: p.payload[1:]}
	switch p.payload[0] {
	case comQuit:
		c.closeConnection()
	case comPing:
		c.write(okPacket(1))
	case comInitDB:
		c.useSchema(string(arguments.remaining))
	case comQuery:
		c.handleQuery(string(arguments.remaining))
	case comStmtPrepare:
		c.handlePrepare(string(arguments.remaining))
	case comStmtExecute:
		c.handleExecute(arguments)
	case comStmtSendLongData:
		c.handleLongData(arguments) // the command has no response
	case comStmtClose:
		delete(c.statements, arguments.uint32()) // the command has no response
	case comStmtReset:
		c.handleReset(arguments)
	default:
		c.sendError(1, erUnknownCommand, "the gateway does not know this command")
	}
}

// useSchema changes the client's schema. Whether it exists is known when the next query runs.
func (c *ServerConn) useSchema(schema string) {
	if len(schema) > maxSchemaBytes {
		c.sendError(1, erTooLongIdentifier, schemaTooLongMessage)
		return
	}
	c.schema = schema
	c.write(okPacket(1))
}

// handleQuery handles COM_QUERY. Statements about the session are handled here; all others run on an engine.
func (c *ServerConn) handleQuery(text string) {
	statement := classify(text)
	switch statement.kind {
	case useStatement:
		c.useSchema(statement.argument)
	case setReplayKeyStatement:
		c.setReplayKey(statement.argument)
	case ignoredStatement:
		c.write(okPacket(1))
	case unsupportedStatement:
		c.sendError(1, erNotSupportedYet, unsupportedStatementMessage)
	case malformedStatement:
		c.sendError(1, erParseError, "the gateway cannot read this USE statement")
	default:
		c.startQuery(&Query{Text: text, Schema: c.schema, OwnSession: statement.ownSession})
	}
}

// setReplayKey sets the idempotency key of the next query to a quoted literal.
func (c *ServerConn) setReplayKey(literal string) {
	if len(literal) > maxReplayKeyBytes {
		c.sendError(1, erUnknownError, "@replay_key is too long")
		return
	}
	c.idempotencyKey = literal
	c.write(okPacket(1))
}

// handlePrepare handles COM_STMT_PREPARE. The statement is only stored; an engine prepares it before it first executes
// it.
func (c *ServerConn) handlePrepare(text string) {
	statement := classify(text)
	if statement.kind != queryStatement {
		c.sendError(1, erNotSupportedYet, unsupportedStatementMessage)
		return
	}
	s := &preparedStatement{text: text, schema: c.schema, ownSession: statement.ownSession, params: countPlaceholders(text)}
	if s.params > maxStatementParams {
		c.sendError(1, erMalformedPacket, "too many parameters")
		return
	}
	if len(c.statements) >= maxClientStatements || !c.mayHold(s.memoryUsed()) {
		c.sendError(1, erMaxPreparedStatements, "too many prepared statements")
		return
	}
	c.lastStatementID++
	s.id = c.lastStatementID
	c.statements[s.id] = s
	c.write(prepareResponse(s))
}

// prepareResponse returns the response to COM_STMT_PREPARE. It has no column definitions, because no engine has prepared the
// statement yet; each result has them.
func prepareResponse(s *preparedStatement) []byte {
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

// paramDefinition is the column definition of an unbound parameter: a string with the name "?", as MySQL servers send it.
var paramDefinition = append([]byte("\x03def\x00\x00\x00\x01?\x00\x0c\x3f\x00"), 0, 0, 0, 0, 0xfd, 0x80, 0, 0, 0, 0)

// handleExecute handles COM_STMT_EXECUTE. Long data is used for one execute only.
func (c *ServerConn) handleExecute(arguments *payloadReader) {
	s := c.statements[arguments.uint32()]
	if s == nil {
		c.sendError(1, erUnknownStatement, unknownStatementMessage)
		return
	}
	longDataLost := s.longDataLost
	execution, ok := s.parseExecute(arguments)
	if !ok {
		c.sendError(1, erMalformedPacket, "malformed execute")
		return
	}
	s.clearLongData()
	if longDataLost {
		c.sendError(1, erOutOfResources, "nothing ran: the long data of the statement is more than the gateway holds")
		return
	}
	c.startQuery(&Query{Text: s.text, Schema: s.schema, OwnSession: s.ownSession, Execution: execution})
}

// handleLongData handles COM_STMT_SEND_LONG_DATA. The command has no response; the next execute reports data that was lost.
func (c *ServerConn) handleLongData(arguments *payloadReader) {
	s := c.statements[arguments.uint32()]
	param := arguments.uint16()
	if s == nil || arguments.malformed {
		return
	}
	s.appendLongData(param, arguments.remaining, c.mayHold)
}

func (c *ServerConn) handleReset(arguments *payloadReader) {
	s := c.statements[arguments.uint32()]
	if s == nil {
		c.sendError(1, erUnknownStatement, unknownStatementMessage)
		return
	}
	s.clearLongData()
	c.write(okPacket(1))
}
