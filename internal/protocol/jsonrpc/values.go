package jsonrpc

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"
)

var errNoBlob = errors.New("no blob")

func decodeBlob(blob *string) ([]byte, error) {
	if blob == nil {
		return nil, errNoBlob
	}
	out, err := base64.StdEncoding.DecodeString(*blob)
	if err != nil {
		return nil, fmt.Errorf("blob: %w", err)
	}
	return out, nil
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// validEstimate reports whether a client's estimate is in range.
func validEstimate(n float64) bool { return n >= 0 && n <= maxEstimate }

// validID reports whether an ID can be echoed in a response: a number, a string or null.
func validID(id string) bool {
	return len(id) <= maxIDBytes && (id == nullID || id[0] == '"' || id[0] == '-' || id[0] >= '0' && id[0] <= '9')
}

// headerSafe reports whether s can be sent as an HTTP header value.
func headerSafe(s string) bool {
	unsafe := func(r rune) bool { return r <= ' ' || r >= 0x7f }
	return len(s) <= maxHeaderBytes && strings.IndexFunc(s, unsafe) < 0
}
