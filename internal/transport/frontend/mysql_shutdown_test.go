package frontend

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"testing"
	"time"

	_ "github.com/go-sql-driver/mysql" // the client

	"frostpier/internal/protocol/mysql"
	"frostpier/internal/testutil/nettest"
)

// connectMySQLDriver logs a MySQL client in to a new listener of the fixture's gateway, and returns its connection on both sides.
func connectMySQLDriver(t *testing.T, f *fixture) (*MySQLListener, *sql.Conn, *mysqlClient) {
	t.Helper()
	account := &mysql.Account{User: "u", PasswordHash: mysql.HashPassword("p"), Budget: nettest.Timeout}
	l := NewMySQLListener(f.dispatcher, f.pool, f.log, MySQLConfig{Listen: "127.0.0.1:0", MaxConns: 1,
		Accounts: map[string]*mysql.Account{account.User: account}})
	listenMySQL(t, l)
	db, err := sql.Open("mysql", fmt.Sprintf("u:p@tcp(%s)/?timeout=20s&readTimeout=20s", l.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	conn, err := db.Conn(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var client *mysqlClient
	f.loop.Do(func() {
		for client = range l.open {
		}
	})
	return l, conn, client
}

// A command that follows a query's reply is answered by the shutdown although the listener has not handled the end of the query yet.
// Guards against requests of MySQL clients that are lost at the end of a shutdown while the loop is behind.
func TestMySQLShutdownAnswersCommandAfterReply(t *testing.T) {
	f := newFixture(t, 1)
	l, conn, client := connectMySQLDriver(t, f)
	errs := make(chan error, 2)
	f.loop.Do(func() {
		f.dispatcher.Close()          // from now on queries are rejected at once
		heldBefore := l.memory.Used() // grows with a command that was read while a query runs
		go func() {
			for range cap(errs) {
				_, err := conn.ExecContext(context.Background(), "SELECT 1")
				errs <- err
			}
		}()
		handled := func() bool { return !client.conn.DeliverPending() && client.machine.QueryRunning() }
		nettest.Eventually(t, "the first query to be handled", handled)
		nettest.Eventually(t, "its reply to be read and the second query to arrive", func() bool {
			pending, _ := client.conn.Peek()
			return len(errs) == 1 && (pending || l.memory.Used() > heldBefore)
		})
		l.StopAccepting()
		l.Shutdown()
	})
	for range cap(errs) {
		select {
		case err := <-errs:
			if err == nil || !strings.Contains(err.Error(), "Error 1040") {
				t.Errorf("error %v, want the rejection 1040", err)
			}
		case <-time.After(nettest.Timeout):
			t.Fatal("timeout waiting for a reply")
		}
	}
}
