package settings

import "fmt"

// The sources of settings, as error messages name them.
const (
	SourceOperator      = "operator's file"
	SourceConfiguration = "configuration"
	SourceSettings      = "settings"
)

// KeyError reports a key whose value is invalid, or that is missing or unknown.
type KeyError struct {
	Source string // one of the Source constants
	Key    string // with its section, as in membership.interval_ms
	Value  any    // nil = missing or of no interest
	Reason string // names the bounds, where there are any
	Err    error  // the cause, if another package found it; nil = none
}

// Error names the source, the key, its value and the reason.
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

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// operatorError returns the error of a key in the operator's file.
func operatorError(key string, value any, reason string) error {
	return &KeyError{Source: SourceOperator, Key: key, Value: value, Reason: reason}
}

// checkRange returns an error of the operator's file if a value is outside its bounds, which are inclusive.
func checkRange(key string, value, lower, upper int64) error {
	if value < lower || value > upper {
		return operatorError(key, value, fmt.Sprintf("not between %d and %d", lower, upper))
	}
	return nil
}
