package core

import "strings"

// maxGroupDigits is the maximum number of digits of a table group's number.
const maxGroupDigits = 7

// TableGroup returns the number of the table group that a SQL statement reads or writes: the digits after the last
// underscore of the schema name, for example 17 for sales_17.orders. Strings, comments and the schema staging are
// ignored. TableGroup returns 0 for a statement without a table group.
func TableGroup(statement string) int {
	first, previous := 0, ""
	for rest := statement; rest != ""; {
		var word string
		word, rest = nextToken(rest)
		if n, ok := qualifierGroup(word, rest); ok {
			if introducesTable(previous) {
				return n
			}
			if first == 0 {
				first = n // may be a table alias, so a schema after FROM or another keyword takes precedence
			}
		}
		if word != "" {
			previous = word
		}
	}
	return first
}

// qualifierGroup returns the table group of a word that is a schema qualifier: rest, the text after it, starts with a dot.
func qualifierGroup(word, rest string) (group int, ok bool) {
	isSchema := strings.HasPrefix(rest, ".") && word != "" && !strings.EqualFold(word, "staging")
	if !isSchema {
		return 0, false
	}
	return groupNumber(word)
}

// SchemaGroup returns the number of a schema's table group, or 0 if it has none.
func SchemaGroup(schema string) int {
	n, _ := groupNumber(schema)
	return n
}

// introducesTable reports whether a word is a keyword that a table name follows.
func introducesTable(word string) bool {
	switch strings.ToUpper(word) {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
		return true
	}
	return false
}

// nextToken splits a non-empty statement after its first token. word is empty if the token is a string, a comment or a
// byte that cannot be part of a name.
func nextToken(s string) (word, rest string) {
	switch {
	case s[0] == '\'' || s[0] == '"':
		return "", skipQuoted(s, s[0])
	case s[0] == '`':
		rest = skipQuoted(s, '`')
		return strings.Trim(s[:len(s)-len(rest)], "`"), rest
	case strings.HasPrefix(s, "--") || s[0] == '#':
		_, rest, _ = strings.Cut(s, "\n")
		return "", rest
	case strings.HasPrefix(s, "/*"):
		_, rest, _ = strings.Cut(s[2:], "*/")
		return "", rest
	}
	n := 0
	for n < len(s) && isNameByte(s[n]) {
		n++
	}
	return s[:n], s[max(n, 1):]
}

// skipQuoted returns the text after the quoted text at the start of s. A doubled quote is part of the quoted text, as is a
// quote escaped with a backslash. Between backquotes a backslash is not an escape.
func skipQuoted(s string, quote byte) string {
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '\\' && quote != '`':
			i++
		case s[i] == quote && i+1 < len(s) && s[i+1] == quote:
			i++
		case s[i] == quote:
			return s[i+1:]
		}
	}
	return ""
}

// isNameByte reports whether a byte can be part of an unquoted name.
func isNameByte(b byte) bool {
	return b == '_' || b == '$' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= 0x80
}

// groupNumber returns the number after the last underscore of a schema name.
func groupNumber(schema string) (n int, ok bool) {
	i := strings.LastIndexByte(schema, '_')
	digits := schema[i+1:]
	if i < 0 || digits == "" || len(digits) > maxGroupDigits {
		return 0, false
	}
	for _, d := range []byte(digits) {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int(d-'0')
	}
	return n, true
}
