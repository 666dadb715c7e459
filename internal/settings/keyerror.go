package settings

import "fmt"

// Sources of settings, as they appear in error messages.
const (
	SourceOperator      = "operator's file"
	SourceConfiguration = "configuration"
	SourceSettings      = "settings"
)

// KeyError reports a key whose value is invalid, or that is missing or unknown.
type KeyError struct {
	Source string // one of the Source constants
	Key    string // including its section, as in membership.interval_ms
	Value  any    // nil if it is missing or not relevant
	Reason string // includes the bounds, if there are any
	Err    error  // underlying error of another package; nil = none
}

// Error returns a message with the source, the key, its value and the reason.
func (e *KeyError) Error() string {
	text := e.Source + ": " + e.Key + ": "
	switch value := e.Value.(type) {
	case nil:
	case string:
		text += fmt.Sprintf("%q: ", value)
	default:
		text += fmt.Sprintf("%v: ", value)
	}
	if e.Err == nil {
		return text + e.Reason
	}
	if e.Reason == "" {
		return text + e.Err.Error()
	}
	return text + e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *KeyError) Unwrap() error { return e.Err }

// operatorError returns a *KeyError for a key of the operator's file.
func operatorError(key string, value any, reason string) error {
	return &KeyError{Source: SourceOperator, Key: key, Value: value, Reason: reason}
}

// checkRange returns a *KeyError for a key of the operator's file if its value is not between lower and upper, inclusive.
func checkRange(key string, value, lower, upper int64) error {
	if value < lower || value > upper {
		return operatorError(key, value, fmt.Sprintf("must be between %d and %d", lower, upper))
	}
	return nil
}
