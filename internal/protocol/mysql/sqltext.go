package mysql

import (
	"regexp"
	"strings"
)

// Patterns of the statements that are not sent to engines. All expect text without leading comments.
var (
	setReplayKey         = regexp.MustCompile(`(?is)^\s*SET\s+@replay_key\s*:?=\s*('(?:[^'\\]|\\.|'')*')\s*;?\s*$`)
	ignoredSet           = regexp.MustCompile(`(?is)^\s*SET\s+(NAMES\b.*|CHARACTER\s+SET\b.*|(@@)?(session\s+|session\.)?autocommit\s*=\s*(1|ON))\s*;?\s*$`)
	unsupportedStatement = regexp.MustCompile(`(?is)^\s*(BEGIN|START\s+TRANSACTION|COMMIT|ROLLBACK|SAVEPOINT|RELEASE\s+SAVEPOINT|XA|` +
		`LOCK\s+TABLES?|UNLOCK\s+TABLES?|SET\s+(@@)?(global\s+|session\s+|session\.)?(TRANSACTION|autocommit)|SET)\b`)
	useStatement = regexp.MustCompile("(?is)^\\s*USE\\s+`?([^`;\\s]+)`?\\s*;?\\s*$")
)

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

// stripLeadingComments removes the comments before a statement, so that it can be matched against patterns. Executable
// comments ("/*!") are part of the statement.
func stripLeadingComments(text string) string {
	for {
		text = strings.TrimSpace(text)
		switch {
		case strings.HasPrefix(text, "/*") && !strings.HasPrefix(text, "/*!"):
			_, rest, closed := strings.Cut(text[2:], "*/")
			if !closed {
				return ""
			}
			text = rest
		case strings.HasPrefix(text, "#"), strings.HasPrefix(text, "-- "):
			_, text, _ = strings.Cut(text, "\n")
		default:
			return text
		}
	}
}
