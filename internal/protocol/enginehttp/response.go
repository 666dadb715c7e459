// Package enginehttp is the engines' HTTP/1.1 side as state machines fed bytes: reading responses, and carrying one
// query from its POST over polls and pages to its end. It knows no socket and no clock.
package enginehttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

// Bounds of what an engine may send.
const (
	maxHead = 8 << 10
	maxBody = 64 << 10 // a page holds 6,000 bytes at most; an engine that ignores that is still read
)

var errMalformed = errors.New("malformed response")

// Response is a whole response.
type Response struct {
	Status int
	Head   textproto.MIMEHeader
	Body   []byte
	Close  bool // the engine closes the connection behind it
}

// Reader cuts a stream of bytes into responses.
type Reader struct {
	buf  []byte
	head *Response // read, and its body awaited
	need int       // of the body; -1 while it comes in chunks
}

// Feed takes bytes in and returns the response that is whole with them, if one is. After an error the connection
// is of no more use.
func (r *Reader) Feed(b []byte) (*Response, error) {
	r.buf = append(r.buf, b...)
	for {
		if r.head == nil {
			end := bytes.Index(r.buf, []byte("\r\n\r\n"))
			if end < 0 && len(r.buf) <= maxHead {
				return nil, nil
			}
			if end < 0 || end > maxHead {
				return nil, fmt.Errorf("%w: head over %d bytes", errMalformed, maxHead)
			}
			if err := r.readHead(r.buf[:end+4]); err != nil {
				return nil, err
			}
			r.buf = r.buf[end+4:]
			if r.head.Status/100 == 1 { // an interim response says nothing yet
				r.head = nil
				continue
			}
		}
		return r.readBody()
	}
}

// Idle reports whether nothing of a further response has come.
func (r *Reader) Idle() bool { return r.head == nil && len(r.buf) == 0 }

func (r *Reader) readHead(head []byte) error {
	t := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	line, err := t.ReadLine()
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || !strings.HasPrefix(version, "HTTP/1.") {
		return fmt.Errorf("%w: status line %.60q", errMalformed, line)
	}
	fields, err := t.ReadMIMEHeader()
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	r.head = &Response{Status: status, Head: fields,
		Close: strings.EqualFold(fields.Get("Connection"), "close") || version == "HTTP/1.0"}
	r.need, err = bodyLength(status, fields)
	return err
}

// bodyLength reports how long a body is, -1 where it comes in chunks. A head that tells two lengths tells none: which
// of them the engine meant cannot be known, and a result cut at the wrong one would be served as whole.
func bodyLength(status int, fields textproto.MIMEHeader) (int, error) {
	lengths, coding := fields["Content-Length"], fields["Transfer-Encoding"]
	switch {
	case status == 204 || status == 304 || status/100 == 1:
		return 0, nil
	case len(lengths)+len(coding) > 1:
		return 0, fmt.Errorf("%w: lengths %.40q %.40q", errMalformed, lengths, coding)
	case len(coding) == 1 && strings.EqualFold(coding[0], "chunked"):
		return -1, nil
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || n > maxBody {
			return 0, fmt.Errorf("%w: content length %.40q", errMalformed, lengths[0])
		}
		return int(n), nil
	case len(coding) == 1 || status == 200: // a body without an end could be served cut short
		return 0, fmt.Errorf("%w: a result without its length", errMalformed)
	}
	return 0, nil
}

func (r *Reader) readBody() (*Response, error) {
	body, size := []byte(nil), r.need
	if r.need < 0 {
		if len(r.buf) > 2*maxBody { // however it is cut up
			return nil, fmt.Errorf("%w: chunks without end", errMalformed)
		}
		var err error
		if body, size, err = unchunk(r.buf); err != nil || size < 0 {
			return nil, err
		}
	} else {
		if len(r.buf) < r.need {
			return nil, nil
		}
		body = bytes.Clone(r.buf[:r.need])
	}
	done := r.head
	done.Body, r.head = body, nil
	if r.buf = r.buf[size:]; len(r.buf) > 0 {
		return done, fmt.Errorf("%w: bytes behind a response that nothing asked for", errMalformed)
	}
	return done, nil
}

// unchunk reads a chunked body off b; size is -1 while it is not whole, else how many bytes it took.
func unchunk(b []byte) (body []byte, size int, err error) {
	for at := 0; ; {
		eol := bytes.Index(b[at:], []byte("\r\n"))
		if eol < 0 {
			return nil, -1, nil
		}
		digits, _, _ := strings.Cut(string(b[at:at+eol]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil || len(body)+int(n) > maxBody {
			return nil, -1, fmt.Errorf("%w: chunk of %.20q", errMalformed, digits)
		}
		at += eol + 2
		if len(b) < at+int(n)+2 {
			return nil, -1, nil
		}
		if string(b[at+int(n):at+int(n)+2]) != "\r\n" {
			return nil, -1, fmt.Errorf("%w: chunk without end", errMalformed)
		}
		body = append(body, b[at:at+int(n)]...)
		at += int(n) + 2
		if n == 0 {
			return body, at, nil
		}
	}
}
