package testfleet

import (
	"math"
	"strconv"
	"strings"
)

// Record is a line of a gateway's log: its message and its fields.
type Record struct {
	Msg    string
	Fields map[string]string
}

// ParseRecord reads a line that log/slog's text handler wrote; ok is false for any other.
func ParseRecord(line string) (r Record, ok bool) {
	r.Fields = map[string]string{}
	for rest := line; rest != ""; {
		rest = strings.TrimLeft(rest, " ")
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return r, r.Msg != ""
		}
		value := ""
		if strings.HasPrefix(after, `"`) {
			quoted, err := strconv.QuotedPrefix(after)
			if err != nil {
				return r, false
			}
			if value, err = strconv.Unquote(quoted); err != nil {
				return r, false
			}
			rest = after[len(quoted):]
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		if key == "msg" {
			r.Msg = value
		}
		r.Fields[key] = value
	}
	return r, r.Msg != ""
}

// Number is a field as a number; NaN where it is none.
func (r Record) Number(key string) float64 {
	v, err := strconv.ParseFloat(r.Fields[key], 64)
	if err != nil {
		return math.NaN()
	}
	return v
}
