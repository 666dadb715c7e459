package jsonrpc

import (
	"encoding/base64"
	"fmt"
	"time"
)

// Error codes. The first four are those of JSON-RPC 2.0.
const (
	codeParseError     = -32700
	codeInvalidRequest = -32600
	codeMethodNotFound = -32601
	codeInvalidParams  = -32602
	codeRejected       = -32008
	codeFailed         = -32013
)

// Result returns the response line for a query that succeeded.
func Result(id string, body []byte) []byte {
	b := fmt.Appendf(make([]byte, 0, len(body)*4/3+80), `{"jsonrpc":"2.0","id":%s,"result":{"blob":"`, id)
	b = base64.StdEncoding.AppendEncode(b, body)
	return append(b, "\"}}\n"...)
}

// Rejected returns the response line for a query that was rejected and may be retried after a delay.
func Rejected(id string, retryAfter time.Duration) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":"Overloaded","data":{"backoff":%d}}}`+"\n",
		id, codeRejected, retryAfter.Milliseconds())
}

// Failed returns the response line for a query that failed.
func Failed(id, message string) []byte { return errorLine(id, codeFailed, message) }

// Pong returns the response line for a ping.
func Pong(id string, serving bool) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"result":{"serving":%t}}`+"\n", id, serving)
}

func errorReply(id string, code int, message string) Event {
	return Event{Reply: errorLine(id, code, message)}
}

func errorLine(id string, code int, message string) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":%q}}`+"\n", id, code, message)
}
