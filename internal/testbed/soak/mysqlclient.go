package soak

import (
	"context"
	"database/sql/driver"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/go-sql-driver/mysql"

	"frostpier/internal/testbed/emulator"
)

// Account of the MySQL clients and the class of its queries.
const (
	mysqlUser     = "soak"
	mysqlPassword = "soak"
	mysqlClass    = "lookup"
)

const (
	mysqlErrRejected    = 1040 // ER_CON_COUNT_ERROR, with which the gateway rejects a query
	mysqlShortQuery     = 5 * time.Millisecond
	mysqlLongQuery      = 400 * time.Millisecond
	mysqlLongQueryOneIn = 10 // one query in 10 is long
)

// mysqlClient is a MySQL client that sends one query at a time.
type mysqlClient struct {
	number   int
	gateway  *gateway
	addr     string
	budget   time.Duration
	random   *rand.Rand
	recorder *recorder
	engine   *emulator.MySQLEngine
}

// run sends queries over one connection after the other. It stops reconnecting when the gateway stops accepting clients.
func (c *mysqlClient) run() {
	config := mysql.NewConfig()
	config.User, config.Passwd, config.Net, config.Addr = mysqlUser, mysqlPassword, "tcp", c.addr
	config.Timeout = dialTimeout
	config.Logger = &mysql.NopLogger{}
	connector, err := mysql.NewConnector(config)
	if err != nil {
		panic(err) // the configuration is valid
	}
	for c.gateway.acceptsClients() {
		conn, err := connector.Connect(context.Background())
		if err != nil {
			c.wait()
			continue
		}
		c.sendQueries(conn)
		_ = conn.Close()
	}
}

func (c *mysqlClient) wait() {
	time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanPause)))
}

// sendQueries sends queries until the connection is closed or the gateway is killed.
func (c *mysqlClient) sendQueries(conn driver.Conn) {
	for number := 1; ; number++ {
		c.wait()
		if _, killed := c.gateway.killed(); killed {
			return
		}
		request := &Request{Gateway: c.gateway.number, Client: c.number, Number: number, MySQL: true, Class: mysqlClass, Budget: c.budget,
			ID: fmt.Sprintf("%016x", c.random.Uint64())}
		if !c.query(conn, request) {
			return
		}
	}
}

// query sends a query and reports whether the connection can be reused. The driver checks for a closed connection before it writes; a
// query that was not written is not recorded.
func (c *mysqlClient) query(conn driver.Conn, r *Request) bool {
	duration := mysqlShortQuery
	if c.random.IntN(mysqlLongQueryOneIn) == 0 {
		duration = time.Duration(c.random.ExpFloat64() * float64(mysqlLongQuery))
	}
	if conn.(driver.SessionResetter).ResetSession(context.Background()) != nil {
		return false
	}
	r.Sent = c.gateway.clock()
	row, err := queryRow(conn, emulator.MySQLStatement(r.ID, duration))
	if errors.Is(err, driver.ErrBadConn) {
		return false
	}
	r.Latency = c.gateway.clock() - r.Sent
	r.Outcome = c.outcomeOf(r, row, err)
	c.recorder.add(r)
	var answer *mysql.MySQLError
	return err == nil || errors.As(err, &answer)
}

// queryRow runs a query and returns the first column of its only row.
func queryRow(conn driver.Conn, text string) (string, error) {
	rows, err := conn.(driver.QueryerContext).QueryContext(context.Background(), text, nil)
	if err != nil {
		return "", err
	}
	values := make([]driver.Value, 1)
	if err := rows.Next(values); err != nil {
		return "", err
	}
	row, _ := values[0].([]byte)
	text = string(row) // the driver reuses the bytes
	if err := rows.Next(values); !errors.Is(err, io.EOF) {
		return "", err
	}
	return text, rows.Close()
}

// outcomeOf returns the outcome of a query.
func (c *mysqlClient) outcomeOf(r *Request, row string, err error) Outcome {
	var answer *mysql.MySQLError
	switch isAnswer := errors.As(err, &answer); {
	case err != nil && !isAnswer:
		return c.gateway.unansweredOutcome(r, c.engine.Received(r.ID), false)
	case c.gateway.isLate(r):
		return Late
	case isAnswer && answer.Number == mysqlErrRejected:
		return Rejected
	case isAnswer:
		return Failed
	case row == emulator.MySQLRow(r.ID):
		return Served
	}
	return Corrupted
}
