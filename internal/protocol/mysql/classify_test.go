package mysql

import "testing"

// What the gateway does with statements about the session, with comments and executable comments at any place. A USE with a comment was sent to
// an engine, where it changed the schema of a connection that other clients' queries use: they were served rows of a foreign schema.
func TestClassifySessionStatements(t *testing.T) {
	for text, want := range map[string]classification{
		"USE a":                         {kind: useStatement, argument: "a"},
		" use `a b` ;":                  {kind: useStatement, argument: "a b"},
		"USE `a``b`":                    {kind: useStatement, argument: "a`b"},
		"USE a /* desk 4 */":            {kind: useStatement, argument: "a"},
		"/* x */ USE/**/a -- y":         {kind: useStatement, argument: "a"},
		"USE -- x\n a # y\n;":           {kind: useStatement, argument: "a"},
		"/*! USE a */":                  {kind: useStatement, argument: "a"},
		"/*!40101 USE*/ a":              {kind: useStatement, argument: "a"},
		"USE":                           {kind: malformedStatement},
		"USE a b":                       {kind: malformedStatement},
		"USE a; USE b":                  {kind: malformedStatement},
		"USE 'a'":                       {kind: malformedStatement},
		"USE `a":                        {kind: malformedStatement},
		"USE ``":                        {kind: malformedStatement},
		"SET @replay_key='a\\'b'":       {kind: setReplayKeyStatement, argument: `'a\'b'`},
		"SET @replay_key='a''b'":        {kind: setReplayKeyStatement, argument: "'a''b'"},
		" set @replay_key := 'x' ; ":    {kind: setReplayKeyStatement, argument: "'x'"},
		"SET /* k */ @replay_key='x'#":  {kind: setReplayKeyStatement, argument: "'x'"},
		"SET @replay_key='a', @b=1":     {kind: unsupportedStatement},
		"SET @replay_key='a' 'b'":       {kind: unsupportedStatement},
		"SET @replay_key=x":             {kind: unsupportedStatement},
		"SET @replay_key='x":            {kind: unsupportedStatement},
		"SET @b='x'":                    {kind: unsupportedStatement},
		"SET NAMES utf8mb4":             {kind: ignoredStatement},
		"SET CHARACTER SET utf8":        {kind: ignoredStatement},
		"SET autocommit=1;":             {kind: ignoredStatement},
		"SET @@session.autocommit = ON": {kind: ignoredStatement},
		"SET SESSION autocommit = 1":    {kind: ignoredStatement},
		"SET autocommit=0":              {kind: unsupportedStatement},
		"/*!40101 SET autocommit=0 */":  {kind: unsupportedStatement},
		"SET sql_mode=''":               {kind: unsupportedStatement},
		"SET":                           {kind: unsupportedStatement},
		"BEGIN":                         {kind: unsupportedStatement},
		"/**/START/**/TRANSACTION":      {kind: unsupportedStatement},
		"LOCK TABLES t READ":            {kind: unsupportedStatement},
		"UNLOCK TABLES":                 {kind: unsupportedStatement},
		"RELEASE SAVEPOINT s":           {kind: unsupportedStatement},
	} {
		t.Run(text, func(t *testing.T) {
			if got := classify(text); got != want {
				t.Errorf("%q: %+v, want %+v", text, got, want)
			}
		})
	}
}

// Queries that may read or change the state of a session do not run in one that other clients' queries use.
func TestClassifyQueriesThatNeedTheirOwnSession(t *testing.T) {
	for text, want := range map[string]bool{
		"SELECT 1": false,
		"(SELECT a FROM t) UNION (SELECT b FROM u)":   false,
		"select '@x', `@y`, \"GET_LOCK\" /* @z */":    false,
		"WITH x AS (SELECT 1) SELECT * FROM x":        false,
		"INSERT INTO t VALUES (?, 'USE a')":           false,
		"SHOW TABLES":                                 false,
		"SELECT /*+ MAX_EXECUTION_TIME(9) */ 1":       false,
		"SELECT @x := 1":                              true,
		"SELECT a INTO @x FROM t":                     true,
		"SELECT @@sql_mode":                           true,
		"SELECT get_lock('a', 1)":                     true,
		"SELECT LAST_INSERT_ID()":                     true,
		"SHOW WARNINGS":                               true,
		"SHOW COUNT(*) ERRORS":                        true,
		"SELECT 1 /*!40101 , 2 */":                    true,
		"SELECT 1 /*!99999 , 2 */":                    true,
		"/*M! USE a */":                               false, // a USE statement
		"CALL p()":                                    true,
		"PREPARE s FROM 'SELECT 1'":                   true,
		"CREATE TEMPORARY TABLE t (a INT)":            true,
		"HANDLER t OPEN":                              true,
		"START REPLICA":                               true,
		"LOCK INSTANCE FOR BACKUP":                    true,
		"FLUSH TABLES WITH READ LOCK":                 true,
		"":                                            true,
		"SELECT 1 FROM t WHERE a = 'x' -- @\n AND @y": true,
	} {
		t.Run(text, func(t *testing.T) {
			if got := classify(text); got.ownSession != want {
				t.Errorf("%q: %+v, want own session %t", text, got, want)
			}
		})
	}
}
