package mysql

import "strings"

// tokenKind is the kind of a token of a statement.
type tokenKind uint8

const (
	tokenEnd          tokenKind = iota // end of the statement
	tokenWord                          // unquoted name, keyword or number
	tokenQuotedName                    // name in backquotes
	tokenString                        // text in single or double quotes
	tokenUnterminated                  // quoted text or name without its closing quote
	tokenSymbol                        // any other byte
)

// token is a token of a statement, with its text as in the statement, quotes included.
type token struct {
	kind tokenKind
	text string
}

// maxKeywordBytes is more than any keyword has that the gateway looks for.
const maxKeywordBytes = 32

// keyword returns an unquoted word in upper case, or an empty string for any other token.
func (t token) keyword() string {
	if t.kind != tokenWord || len(t.text) > maxKeywordBytes {
		return ""
	}
	return strings.ToUpper(t.text)
}

// isOneOf reports whether the token is one of a set of words in upper case.
func (t token) isOneOf(words map[string]bool) bool {
	if t.kind != tokenWord || len(t.text) > maxKeywordBytes {
		return false
	}
	var upper [maxKeywordBytes]byte
	n := copy(upper[:], t.text)
	for i, b := range upper[:n] {
		if b >= 'a' && b <= 'z' {
			upper[i] = b - 'a' + 'A'
		}
	}
	return words[string(upper[:n])]
}

const whitespace = " \t\n\v\f\r"

// Version numbers of executable comments (MySQL Reference Manual, "Comments").
const (
	minVersionDigits = 5
	maxVersionDigits = 6
	executedVersion  = 80000 // executable comments for later versions are comments
)

// lexer splits a statement into tokens (MySQL Reference Manual, "Language Structure"). Comments are skipped, but the contents of
// executable comments ("/*! */") are tokens, as for the engines. It takes time in proportion to the length of the statement.
type lexer struct {
	rest                   string
	inExecutableComment    bool
	foundExecutableComment bool // an executable comment was found, which only some engines may execute
}

// next returns the next token.
func (l *lexer) next() token {
	l.skipSpaceAndComments()
	if l.rest == "" {
		return token{}
	}
	size, kind := 1, tokenSymbol
	switch first := l.rest[0]; {
	case first == '\'' || first == '"' || first == '`':
		size, kind = quotedToken(l.rest)
	case isNameByte(first):
		for size < len(l.rest) && isNameByte(l.rest[size]) {
			size++
		}
		kind = tokenWord
	}
	t := token{kind, l.rest[:size]}
	l.rest = l.rest[size:]
	return t
}

// atEnd reports whether nothing follows but a semicolon.
func (l *lexer) atEnd() bool {
	t := l.next()
	if t.text == ";" {
		t = l.next()
	}
	return t.kind == tokenEnd
}

// skipSpaceAndComments skips white space, comments, and the marks at the start and the end of an executable comment.
func (l *lexer) skipSpaceAndComments() {
	for {
		l.rest = strings.TrimLeft(l.rest, whitespace)
		switch {
		case strings.HasPrefix(l.rest, "#"), startsDashComment(l.rest):
			_, l.rest, _ = strings.Cut(l.rest, "\n")
		case l.inExecutableComment && strings.HasPrefix(l.rest, "*/"):
			l.rest, l.inExecutableComment = l.rest[len("*/"):], false
		case strings.HasPrefix(l.rest, "/*!"), strings.HasPrefix(l.rest, "/*M!"):
			l.foundExecutableComment = true
			l.enterExecutableComment()
		case strings.HasPrefix(l.rest, "/*"):
			_, l.rest, _ = strings.Cut(l.rest[len("/*"):], "*/")
		default:
			return
		}
	}
}

// enterExecutableComment skips the start of an executable comment, or all of it if engines of executedVersion do not execute it.
func (l *lexer) enterExecutableComment() {
	_, content, _ := strings.Cut(l.rest, "!")
	digits, version := 0, 0
	for digits < min(maxVersionDigits, len(content)) && content[digits] >= '0' && content[digits] <= '9' {
		version = 10*version + int(content[digits]-'0')
		digits++
	}
	switch {
	case digits < minVersionDigits: // not a version number
		l.rest, l.inExecutableComment = content, true
	case version > executedVersion:
		_, l.rest, _ = strings.Cut(content, "*/")
	default:
		l.rest, l.inExecutableComment = content[digits:], true
	}
}

// startsDashComment reports whether a text starts with two dashes that begin a comment: white space or a control character follows.
func startsDashComment(text string) bool {
	return strings.HasPrefix(text, "--") && (len(text) == len("--") || text[len("--")] <= ' ')
}

// quotedToken returns the size and the kind of the quoted text or name at the start of a text. A doubled quote is part of it. A
// backslash escapes the next byte, except in quoted names.
func quotedToken(text string) (size int, kind tokenKind) {
	quote := text[0]
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '\\' && quote != '`':
			i++
		case text[i] != quote:
		case i+1 < len(text) && text[i+1] == quote:
			i++
		case quote == '`':
			return i + 1, tokenQuotedName
		default:
			return i + 1, tokenString
		}
	}
	return len(text), tokenUnterminated
}

// isNameByte reports whether a byte can be part of an unquoted name.
func isNameByte(b byte) bool {
	return b == '_' || b == '$' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= 0x80
}
