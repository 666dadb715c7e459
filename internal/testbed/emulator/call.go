package emulator

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// Call is one HTTP request of a gateway to an engine.
type Call struct {
	Method, Path string
	Head         textproto.MIMEHeader
	Body         string
}

// maxBodyBytes bounds the body of a call, in bytes: no statement of emulated clients comes near it.
const maxBodyBytes = 1 << 20

var errContentLength = errors.New("content length out of range")

// ReadCall reads the next request of a connection. It returns the error of the connection, or one about the
// Content-Length where that is no number from 0 to maxBodyBytes.
func ReadCall(r *textproto.Reader) (c Call, err error) {
	line, err := r.ReadLine()
	if err != nil {
		return c, err
	}
	method, rest, _ := strings.Cut(line, " ")
	c.Method = method
	c.Path, _, _ = strings.Cut(rest, " ")
	if c.Head, err = r.ReadMIMEHeader(); err != nil {
		return c, err
	}
	n, err := strconv.Atoi(c.Head.Get("Content-Length"))
	if c.Head.Get("Content-Length") != "" && (err != nil || n < 0 || n > maxBodyBytes) {
		return c, errContentLength
	}
	body := make([]byte, n)
	_, err = io.ReadFull(r.R, body)
	c.Body = string(body)
	return c, err
}

// Answer formats an HTTP response: a status, a body and further header lines.
func Answer(status int, body string, heads ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d -\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(heads, ""), "\r\n"), body)
}
