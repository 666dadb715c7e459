package testfleet

import (
	"math"
	"strconv"
	"strings"
)

// Record is a parsed line of a gateway's log. Fields holds all attributes, including time, level and msg.
type Record struct {
	Message string
	Fields  map[string]string
}

// ParseRecord parses a line that slog's TextHandler has written. ok is false for any other line.
func ParseRecord(line string) (r Record, ok bool) {
	r.Fields = map[string]string{}
	for rest := line; rest != ""; {
		rest = strings.TrimLeft(rest, " ")
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return r, r.Message != ""
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
			r.Message = value
		}
		r.Fields[key] = value
	}
	return r, r.Message != ""
}

// Number returns the value of a numeric field, or NaN if the field is missing or not numeric.
func (r Record) Number(key string) float64 {
	v, err := strconv.ParseFloat(r.Fields[key], 64)
	if err != nil {
		return math.NaN()
	}
	return v
}
