package emulator

import (
	"context"
	"database/sql"
	"errors"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"
)

// Checks with a standard client that a query returns its row, and that a killed query fails with ER_QUERY_INTERRUPTED.
func TestMySQLEngineReturnsRowsAndKillsQueries(t *testing.T) {
	e, err := StartMySQL()
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	config := mysql.NewConfig()
	config.User, config.Net, config.Addr = "gw", "tcp", e.Addr()
	connector, err := mysql.NewConnector(config)
	if err != nil {
		t.Fatal(err)
	}
	db := sql.OpenDB(connector)
	defer db.Close()
	ctx := context.Background()
	conn, err := db.Conn(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var row string
	if err := conn.QueryRowContext(ctx, MySQLStatement("a1", time.Millisecond)).Scan(&row); err != nil || row != MySQLRow("a1") || !e.Received("a1") {
		t.Fatalf("%q, %v", row, err)
	}
	ended := make(chan error)
	go func() { ended <- conn.QueryRowContext(ctx, MySQLStatement("a2", time.Minute)).Scan(&row) }()
	for !e.Received("a2") {
		time.Sleep(time.Millisecond)
	}
	if _, err := db.ExecContext(ctx, "KILL QUERY 1"); err != nil {
		t.Fatal(err)
	}
	var killed *mysql.MySQLError
	if err := <-ended; !errors.As(err, &killed) || killed.Number != mysqlErrQueryInterrupted {
		t.Fatalf("%v, want error %d", err, mysqlErrQueryInterrupted)
	}
}
