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
	for i := 0; i < len(text); i++ {
		switch b := text[i]; {
		case b == '?':
			count++
		case b == '\'' || b == '"' || b == '`':
			i = closingQuote(text, i)
		case b == '#' || strings.HasPrefix(text[i:], "-- "):
			i += max(0, strings.IndexByte(text[i:]+"\n", '\n'))
		case strings.HasPrefix(text[i:], "/*"):
			end := strings.Index(text[i+2:], "*/")
			if end < 0 {
				return count
			}
			i += 2 + end + 1
		}
	}
	return count
}

// closingQuote returns the index of the quote that closes the one at open, or an index past the end of the text if there is
// none. A backslash escapes the next byte, except in quoted identifiers.
func closingQuote(text string, open int) int {
	quote := text[open]
	i := open + 1
	for i < len(text) && text[i] != quote {
		if text[i] == '\\' && quote != '`' {
			i++
		}
		i++
	}
	return i
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
