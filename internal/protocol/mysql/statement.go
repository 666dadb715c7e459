package mysql

import (
	"encoding/binary"
	"regexp"
	"strings"
)

// statement is one that a client has prepared. Its id is the gateway's: it outlives the engines that know it.
type statement struct {
	id     uint32
	text   string
	params int
	types  []byte            // as last bound; they outlive the engine that saw them
	long   map[uint16][]byte // long data sent since the last execute
	order  []uint16
	size   int
}

// Execution is a prepared statement to run, for any engine.
type Execution struct {
	Text   string
	Params int
	nulls  []byte
	types  []byte
	values []byte
	long   map[uint16][]byte
	order  []uint16
}

// execute reads an execute's payload behind the statement's id.
func (s *statement) execute(c *cursor) (*Execution, bool) {
	c.byte() // flags: a cursor would be tied to an engine, so rows come at once
	c.u32()  // iterations, always 1
	e := &Execution{Text: s.text, Params: s.params, long: s.long, order: s.order}
	if s.params > 0 {
		e.nulls = c.take((s.params + 7) / 8)
		if c.byte() == 1 {
			if types := c.take(2 * s.params); types != nil {
				s.types = append([]byte(nil), types...)
			}
		}
		if len(s.types) != 2*s.params {
			return nil, false
		}
		e.types = s.types
	}
	e.values = c.b
	return e, !c.bad
}

// command is the execute for an engine that knows the statement as id. The types are always bound: the engine may
// never have seen them.
func (e *Execution) command(id uint32) []byte {
	head := binary.LittleEndian.AppendUint32(nil, id)
	head = append(head, 0, 1, 0, 0, 0)
	if e.Params == 0 {
		return command(comExecute, head)
	}
	return command(comExecute, head, e.nulls, []byte{1}, e.types, e.values)
}

// longData are the commands that bring the long data again.
func (e *Execution) longData(id uint32) []byte {
	var out []byte
	for _, n := range e.order {
		head := binary.LittleEndian.AppendUint32(nil, id)
		out = append(out, command(comLongData, binary.LittleEndian.AppendUint16(head, n), e.long[n])...)
	}
	return out
}

// markers counts the parameters of a statement: question marks outside of strings, names and comments.
func markers(text string) int {
	n := 0
	for i := 0; i < len(text); i++ {
		switch b := text[i]; {
		case b == '?':
			n++
		case b == '\'' || b == '"' || b == '`':
			for i++; i < len(text) && text[i] != b; i++ {
				if text[i] == '\\' && b != '`' {
					i++
				}
			}
		case b == '#' || strings.HasPrefix(text[i:], "-- "):
			i += max(0, strings.IndexByte(text[i:]+"\n", '\n'))
		case strings.HasPrefix(text[i:], "/*"):
			end := strings.Index(text[i+2:], "*/")
			if end < 0 {
				return n
			}
			i += 2 + end + 1
		}
	}
	return n
}

var (
	setKey      = regexp.MustCompile(`(?is)^\s*SET\s+@replay_key\s*:?=\s*('(?:[^'\\]|\\.|'')*')\s*;?\s*$`)
	setHarmless = regexp.MustCompile(`(?is)^\s*SET\s+(NAMES\b.*|CHARACTER\s+SET\b.*|(@@)?(session\s+|session\.)?autocommit\s*=\s*(1|ON))\s*;?\s*$`)
	transaction = regexp.MustCompile(`(?is)^\s*(BEGIN|START\s+TRANSACTION|COMMIT|ROLLBACK|SAVEPOINT|RELEASE\s+SAVEPOINT|XA|LOCK\s+TABLES?|UNLOCK\s+TABLES?|SET\s+(@@)?(global\s+|session\s+|session\.)?(TRANSACTION|autocommit)|SET)\b`)
	useSchema   = regexp.MustCompile("(?is)^\\s*USE\\s+`?([^`;\\s]+)`?\\s*;?\\s*$")
)

// plain drops comments that stand before a statement, so that they hide nothing.
func plain(text string) string {
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
