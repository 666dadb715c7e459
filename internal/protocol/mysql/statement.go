package mysql

import (
	"encoding/binary"
)

// Fields of COM_STMT_EXECUTE (MySQL documentation, "COM_STMT_EXECUTE").
const (
	cursorTypeNoCursor = 0
	newParamsBoundFlag = 1
	paramTypeSize      = 2
	maxStatementParams = 0xffff // the parameter count is an int<2>
	executeIterations  = 1
	bitsPerByte        = 8
)

// preparedStatement is a prepared statement of a client. Its id is assigned by the gateway, is valid on the client's connection, and
// is independent of the ids that engines assign.
type preparedStatement struct {
	id            uint32
	text          string
	schema        string // the client's schema when it was prepared, in which its names are resolved
	ownSession    bool   // see classification
	params        int
	paramTypes    []byte            // last bound types; later executes may omit them
	longData      map[uint16][]byte // by parameter, received since the last execute
	longDataOrder []uint16          // parameters with long data, in order of first receipt
	longDataSize  int               // bytes
	longDataLost  bool              // a part of the long data was dropped, so that the next execute must fail
}

// Execution is one execution of a prepared statement, in a form that is independent of the engine.
type Execution struct {
	Text          string // statement text
	Params        int    // number of parameters
	nullBitmap    []byte
	paramTypes    []byte
	paramValues   []byte
	longData      map[uint16][]byte
	longDataOrder []uint16
}

// memoryUsed returns the memory that the statement holds between executions. It includes the parameter types before they are bound, so
// that an execute, which binds them, needs no more.
func (s *preparedStatement) memoryUsed() int {
	return len(s.text) + len(s.schema) + paramTypeSize*s.params + s.longDataSize
}

// bytes returns the memory that the execution holds besides the statement.
func (e *Execution) bytes() int {
	total := len(e.nullBitmap) + len(e.paramTypes) + len(e.paramValues)
	for _, data := range e.longData {
		total += len(data)
	}
	return total
}

// parseExecute parses the payload of COM_STMT_EXECUTE after the statement id. ok is false if it is malformed.
func (s *preparedStatement) parseExecute(r *payloadReader) (execution *Execution, ok bool) {
	r.byte()   // flags: ignored, since a cursor would bind the client to one engine; all rows are sent at once
	r.uint32() // iteration count, always 1
	e := &Execution{Text: s.text, Params: s.params, longData: s.longData, longDataOrder: s.longDataOrder}
	if s.params > 0 {
		e.nullBitmap = r.next(nullBitmapSize(s.params))
		s.bindTypes(r)
		if len(s.paramTypes) != paramTypeSize*s.params {
			return nil, false
		}
		e.paramTypes = s.paramTypes
	}
	e.paramValues = r.remaining
	return e, !r.malformed
}

func nullBitmapSize(params int) int { return (params + bitsPerByte - 1) / bitsPerByte }

// bindTypes reads the new-params-bound flag and, if it is set, the parameter types.
func (s *preparedStatement) bindTypes(r *payloadReader) {
	if r.byte() != newParamsBoundFlag {
		return
	}
	if types := r.next(paramTypeSize * s.params); types != nil {
		s.paramTypes = append([]byte(nil), types...)
	}
}

// appendLongData appends to the long data of a parameter. Data of an invalid parameter is dropped. Data over the size limit, or over
// what mayHold admits, is lost: the command has no response, so that the next execute reports it.
func (s *preparedStatement) appendLongData(param uint16, data []byte, mayHold func(bytes int) bool) {
	if int(param) >= s.params {
		return
	}
	if s.longDataLost || s.longDataSize+len(data) > maxCommandSize || !mayHold(len(data)) {
		s.longDataLost = true
		return
	}
	if s.longData == nil {
		s.longData = map[uint16][]byte{}
	}
	if _, started := s.longData[param]; !started {
		s.longDataOrder = append(s.longDataOrder, param)
	}
	s.longData[param] = append(s.longData[param], data...)
	s.longDataSize += len(data)
}

func (s *preparedStatement) clearLongData() {
	s.longData, s.longDataOrder, s.longDataSize, s.longDataLost = nil, nil, 0, false
}

// executePacket returns COM_STMT_EXECUTE for an engine that prepared the statement under the given id. It always binds the
// parameter types, since this engine may not have received them before.
func (e *Execution) executePacket(id uint32) []byte {
	head := binary.LittleEndian.AppendUint32(nil, id)
	head = append(head, cursorTypeNoCursor)
	head = binary.LittleEndian.AppendUint32(head, executeIterations)
	if e.Params == 0 {
		return commandPacket(comStmtExecute, head)
	}
	return commandPacket(comStmtExecute, head, e.nullBitmap, []byte{newParamsBoundFlag}, e.paramTypes, e.paramValues)
}

// longDataPackets returns the COM_STMT_SEND_LONG_DATA commands that send the client's long data to an engine.
func (e *Execution) longDataPackets(id uint32) []byte {
	var out []byte
	for _, param := range e.longDataOrder {
		head := binary.LittleEndian.AppendUint32(nil, id)
		head = binary.LittleEndian.AppendUint16(head, param)
		out = append(out, commandPacket(comStmtSendLongData, head, e.longData[param])...)
	}
	return out
}
