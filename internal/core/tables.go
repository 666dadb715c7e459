package core

import "strings"

// TableGroup finds the group of tables that a statement reads or writes: the number behind the last underscore
// of its schema's name, as 17 in sales_17.orders. What stands in strings and comments does not count, nor does
// the schema staging. It is 0 where there is none.
func TableGroup(statement string) int {
	first, prev := 0, ""
	for s := statement; s != ""; {
		word, rest := token(s)
		if rest != "" && rest[0] == '.' && word != "" && !strings.EqualFold(word, "staging") {
			if n, ok := number(word); ok {
				if introducesTable(prev) {
					return n
				}
				if first == 0 {
					first = n // an alias may look like a schema: one behind FROM and the like wins
				}
			}
		}
		if word != "" {
			prev = word
		}
		s = rest
	}
	return first
}

// SchemaGroup is the group of tables that a schema's name tells; 0 if none.
func SchemaGroup(schema string) int {
	n, _ := number(schema)
	return n
}

func introducesTable(word string) bool {
	switch strings.ToUpper(word) {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
		return true
	}
	return false
}

// token takes the next name off s, or skips a string, a comment or one other byte.
func token(s string) (word, rest string) {
	switch {
	case s[0] == '\'' || s[0] == '"':
		return "", quoted(s, s[0])
	case s[0] == '`':
		rest = quoted(s, '`')
		return strings.Trim(s[:len(s)-len(rest)], "`"), rest
	case strings.HasPrefix(s, "--") || s[0] == '#':
		_, rest, _ = strings.Cut(s, "\n")
		return "", rest
	case strings.HasPrefix(s, "/*"):
		_, rest, _ = strings.Cut(s[2:], "*/")
		return "", rest
	}
	n := 0
	for n < len(s) && nameByte(s[n]) {
		n++
	}
	return s[:n], s[max(n, 1):]
}

// quoted returns what follows a string that s starts with; a doubled or escaped mark is part of it.
func quoted(s string, mark byte) string {
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '\\' && mark != '`':
			i++
		case s[i] == mark && i+1 < len(s) && s[i+1] == mark:
			i++
		case s[i] == mark:
			return s[i+1:]
		}
	}
	return ""
}

func nameByte(b byte) bool {
	return b == '_' || b == '$' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= 0x80
}

func number(word string) (int, bool) {
	i := strings.LastIndexByte(word, '_')
	digits := word[i+1:]
	if i < 0 || digits == "" || len(digits) > 7 {
		return 0, false
	}
	n := 0
	for _, d := range []byte(digits) {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int(d-'0')
	}
	return n, true
}
