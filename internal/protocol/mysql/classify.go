package mysql

import "strings"

// statementKind says what the gateway does with a statement.
type statementKind uint8

const (
	queryStatement        statementKind = iota // runs on an engine
	useStatement                               // changes the client's schema
	setReplayKeyStatement                      // sets the idempotency key of the client's next query
	ignoredStatement                           // has no effect here, and succeeds
	unsupportedStatement                       // would begin a transaction or change the session
	malformedStatement                         // a USE statement of another form
)

// classification is what the gateway needs to know of a statement.
type classification struct {
	kind     statementKind
	argument string // schema of a useStatement; quoted literal of a setReplayKeyStatement
	// ownSession is set if a query may read or change the state of its session, such as variables, locks or the schema. It must not run
	// in a session that other clients' queries use.
	ownSession bool
}

// sharedSessionVerbs are the first words of statements that leave no state in their session, unless they use one of sessionWords or a
// variable. The state of a session is listed in the MySQL Reference Manual, "Resetting Connection State" (mysql_reset_connection).
var sharedSessionVerbs = wordSet("SELECT", "INSERT", "UPDATE", "DELETE", "REPLACE", "WITH", "VALUES", "TABLE", "SHOW", "EXPLAIN",
	"DESCRIBE", "DESC", "LOAD", "TRUNCATE")

// sessionWords are functions and words of SHOW that read or change the state of a session.
var sessionWords = wordSet("GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS", "LAST_INSERT_ID", "FOUND_ROWS", "ROW_COUNT", "WARNINGS", "ERRORS")

// unsupportedPrefixes are the words with which unsupported statements begin. An empty second word stands for any.
var unsupportedPrefixes = map[string]map[string]bool{
	"BEGIN": wordSet(""), "COMMIT": wordSet(""), "ROLLBACK": wordSet(""), "SAVEPOINT": wordSet(""), "XA": wordSet(""),
	"START": wordSet("TRANSACTION"), "RELEASE": wordSet("SAVEPOINT"), "LOCK": wordSet("TABLE", "TABLES"), "UNLOCK": wordSet("TABLE", "TABLES"),
}

func wordSet(words ...string) map[string]bool {
	set := map[string]bool{}
	for _, word := range words {
		set[word] = true
	}
	return set
}

// classify determines what the gateway does with a statement. Comments are ignored wherever they stand.
func classify(text string) classification {
	l := &lexer{rest: text}
	first := l.next()
	for first.text == "(" {
		first = l.next()
	}
	verb := first.keyword()
	switch verb {
	case "USE":
		return classifyUse(l)
	case "SET":
		return classifySet(l)
	}
	second := l.next()
	if words := unsupportedPrefixes[verb]; words[""] || second.isOneOf(words) {
		return classification{kind: unsupportedStatement}
	}
	ownSession := !first.isOneOf(sharedSessionVerbs)
	for t := second; t.kind != tokenEnd && !ownSession; t = l.next() {
		ownSession = t.text == "@" || t.isOneOf(sessionWords)
	}
	return classification{kind: queryStatement, ownSession: ownSession || l.foundExecutableComment}
}

// classifyUse classifies a statement after the word USE.
func classifyUse(l *lexer) classification {
	name := l.next()
	schema := name.text
	if name.kind == tokenQuotedName {
		schema = strings.ReplaceAll(schema[1:len(schema)-1], "``", "`")
	}
	if name.kind != tokenWord && name.kind != tokenQuotedName || schema == "" || !l.atEnd() {
		return classification{kind: malformedStatement}
	}
	return classification{kind: useStatement, argument: schema}
}

// classifySet classifies a statement after the word SET. No SET statement runs on an engine.
func classifySet(l *lexer) classification {
	t := l.next()
	switch t.keyword() {
	case "NAMES":
		return classification{kind: ignoredStatement}
	case "CHARACTER":
		if l.next().keyword() == "SET" {
			return classification{kind: ignoredStatement}
		}
		return classification{kind: unsupportedStatement}
	}
	if t.text != "@" {
		return classifyAutocommit(l, t)
	}
	t = l.next()
	if t.text == "@" {
		return classifyAutocommit(l, l.next())
	}
	return classifyUserVariable(l, t)
}

// classifyUserVariable classifies the assignment of a user variable. Only that of replay_key to a string in single quotes is supported.
func classifyUserVariable(l *lexer, name token) classification {
	assignment := l.next()
	if assignment.text == ":" {
		assignment = l.next()
	}
	key := l.next()
	isKey := name.keyword() == "REPLAY_KEY" && assignment.text == "=" && key.kind == tokenString && key.text[0] == '\''
	if !isKey || !l.atEnd() {
		return classification{kind: unsupportedStatement}
	}
	return classification{kind: setReplayKeyStatement, argument: key.text}
}

// classifyAutocommit classifies the assignment of a system variable, whose name begins with t. Only turning autocommit on is supported.
func classifyAutocommit(l *lexer, t token) classification {
	if t.keyword() == "SESSION" {
		if t = l.next(); t.text == "." {
			t = l.next()
		}
	}
	isAutocommit := t.keyword() == "AUTOCOMMIT" && l.next().text == "="
	value := l.next().keyword()
	if !isAutocommit || value != "1" && value != "ON" || !l.atEnd() {
		return classification{kind: unsupportedStatement}
	}
	return classification{kind: ignoredStatement}
}

// countPlaceholders returns the number of parameter placeholders in a statement: question marks outside of strings, quoted
// identifiers and comments.
func countPlaceholders(text string) int {
	count := 0
	l := lexer{rest: text}
	for t := l.next(); t.kind != tokenEnd; t = l.next() {
		if t.text == "?" {
			count++
		}
	}
	return count
}
