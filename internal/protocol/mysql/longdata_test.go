package mysql

import (
	"bytes"
	"slices"
	"testing"

	"frostpier/internal/memlimit"
)

// sendLongData sends long data for the first parameter of statement 1.
func sendLongData(c *ServerConn, data []byte) {
	c.Received(commandPacket(comStmtSendLongData, []byte{1, 0, 0, 0, 0, 0}, data))
}

// execute executes statement 1, whose only parameter has long data. It returns the query, or nil and the error code.
func execute(t *testing.T, c *ServerConn) (query *Query, code int) {
	t.Helper()
	arguments := []byte{1, 0, 0, 0, 0, 1, 0, 0, 0, 0, newParamsBoundFlag, 0xfb, 0}
	events := c.Received(commandPacket(comStmtExecute, arguments))
	if len(events) != 1 {
		t.Fatalf("events %+v, want one", events)
	}
	if e := events[0]; e.Query == nil {
		return nil, errPacketCode(e.Write[headerSize:])
	}
	return events[0].Query, 0
}

// An execute fails if a part of its long data was lost because it was too large, and the next one has its own data. Guards against a
// load with a value that lacks its end, since the data before the lost part was sent to the engine.
func TestExecuteFailsIfLongDataWasLost(t *testing.T) {
	part := bytes.Repeat([]byte("x"), maxCommandSize/2)
	for name, c := range map[string]struct {
		memory int
		parts  int
	}{
		"over the limit of a statement": {memory: 4 * maxCommandSize, parts: 3},
		"over the memory of all":        {memory: maxCommandSize, parts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			conn := loggedInConn(t, memlimit.New(c.memory, guaranteedBytes))
			conn.Received(commandPacket(comStmtPrepare, []byte("INSERT INTO t VALUES (?)")))
			for range c.parts {
				sendLongData(conn, part)
			}
			sendLongData(conn, []byte("y")) // would fit, but follows the lost part
			if query, code := execute(t, conn); query != nil || code != erOutOfResources {
				t.Fatalf("query %+v and error %d, want error %d", query, code, erOutOfResources)
			}
			sendLongData(conn, []byte("abc"))
			query, code := execute(t, conn)
			if query == nil || !slices.Equal(query.Execution.longData[0], []byte("abc")) {
				t.Errorf("query %+v and error %d after new long data, want a query with that data", query, code)
			}
		})
	}
}
