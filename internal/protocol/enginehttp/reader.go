// Package enginehttp implements the client side of the engines' HTTP/1.1 protocol as state machines: Reader parses responses,
// and Query runs one attempt from its POST through polls and page requests to its end. The package owns no socket, clock or
// goroutine: events arrive as method calls, and the I/O to perform is returned as attempt.Step values. All methods must be
// called on the event loop.
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

// Size limits of a response.
const (
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 64 << 10 // a page; engines exceed the 6,000 bytes that their protocol allows
)

const (
	headerEnd   = "\r\n\r\n"
	chunkedBody = -1 // body length of a response with chunked transfer coding
)

var errMalformed = errors.New("malformed response")

// Response is a complete response.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // the engine closes the connection after this response
}

// Reader parses the responses of one connection. The zero value is ready for use.
type Reader struct {
	buf       []byte
	pending   *Response // header parsed, body incomplete
	bodyBytes int       // body length of pending, or chunkedBody
}

// Feed parses received bytes and returns the response that they complete, or nil. After an error the connection must be closed.
// If unexpected bytes follow a complete response, Feed returns both the response and an error. Its body may be incomplete then,
// since the bytes may be the rest of it.
func (r *Reader) Feed(b []byte) (*Response, error) {
	r.buf = append(r.buf, b...)
	for r.pending == nil {
		complete, err := r.nextHeader()
		if err != nil || !complete {
			return nil, err
		}
		if r.pending.Status/100 == 1 { // interim response; the final one follows
			r.pending = nil
		}
	}
	return r.readBody()
}

// nextHeader parses the header at the start of the buffer and reports whether it was complete.
func (r *Reader) nextHeader() (complete bool, err error) {
	end := bytes.Index(r.buf, []byte(headerEnd))
	if end < 0 && len(r.buf) <= maxHeaderBytes {
		return false, nil
	}
	if end < 0 || end > maxHeaderBytes {
		return false, fmt.Errorf("%w: header over %d bytes", errMalformed, maxHeaderBytes)
	}
	end += len(headerEnd)
	if err := r.readHeader(r.buf[:end]); err != nil {
		return false, err
	}
	r.buf = r.buf[end:]
	return true, nil
}

// Idle reports whether no part of a response is buffered.
func (r *Reader) Idle() bool { return r.pending == nil && len(r.buf) == 0 }

func (r *Reader) readHeader(header []byte) error {
	t := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(header), len(header)))
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
	r.pending = &Response{Status: status, Header: fields,
		Close: strings.EqualFold(fields.Get("Connection"), "close") || version == "HTTP/1.0"}
	r.bodyBytes, err = bodyLength(status, fields)
	return err
}

// bodyLength returns the length of a body in bytes, or chunkedBody. A header with more than one length or transfer coding is
// malformed: a body truncated at the wrong length would be served as a complete result.
func bodyLength(status int, fields textproto.MIMEHeader) (int, error) {
	lengths, coding := fields["Content-Length"], fields["Transfer-Encoding"]
	switch {
	case status == 204 || status == 304 || status/100 == 1:
		return 0, nil
	case len(lengths)+len(coding) > 1:
		return 0, fmt.Errorf("%w: ambiguous body length: Content-Length %.40q, Transfer-Encoding %.40q", errMalformed, lengths, coding)
	case len(coding) == 1 && strings.EqualFold(coding[0], "chunked"):
		return chunkedBody, nil
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || n > maxBodyBytes {
			return 0, fmt.Errorf("%w: Content-Length %.40q", errMalformed, lengths[0])
		}
		return int(n), nil
	case len(coding) == 1 || status == 200: // truncation could not be detected
		return 0, fmt.Errorf("%w: no body length", errMalformed)
	}
	return 0, nil
}

// readBody returns the pending response once its body is complete, otherwise nil.
func (r *Reader) readBody() (*Response, error) {
	body, size, err := r.nextBody()
	if err != nil || size < 0 {
		return nil, err
	}
	res := r.pending
	res.Body = body
	r.pending = nil
	r.buf = r.buf[size:]
	if len(r.buf) > 0 {
		return res, fmt.Errorf("%w: unexpected bytes after the response", errMalformed)
	}
	return res, nil
}

// nextBody returns the body at the start of the buffer and its encoded size in bytes. The size is the constant
// incomplete while bytes are missing.
func (r *Reader) nextBody() (body []byte, size int, err error) {
	if r.bodyBytes == chunkedBody {
		if len(r.buf) > 2*maxBodyBytes { // limits the overhead of small chunks
			return nil, incomplete, fmt.Errorf("%w: chunked body too large", errMalformed)
		}
		return unchunk(r.buf)
	}
	if len(r.buf) < r.bodyBytes {
		return nil, incomplete, nil
	}
	return bytes.Clone(r.buf[:r.bodyBytes]), r.bodyBytes, nil
}

// incomplete is the encoded size that is returned for a body with missing bytes.
const incomplete = -1

// unchunk decodes the chunked body at the start of b and returns it with its encoded size in bytes. The size is the constant
// incomplete while bytes are missing.
func unchunk(b []byte) (body []byte, size int, err error) {
	for offset := 0; ; {
		eol := bytes.Index(b[offset:], []byte("\r\n"))
		if eol < 0 {
			return nil, incomplete, nil
		}
		digits, _, _ := strings.Cut(string(b[offset:offset+eol]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil || len(body)+int(n) > maxBodyBytes {
			return nil, incomplete, fmt.Errorf("%w: chunk size %.20q", errMalformed, digits)
		}
		offset += eol + 2
		if len(b) < offset+int(n)+2 {
			return nil, incomplete, nil
		}
		if string(b[offset+int(n):offset+int(n)+2]) != "\r\n" {
			return nil, incomplete, fmt.Errorf("%w: chunk data without CRLF", errMalformed)
		}
		body = append(body, b[offset:offset+int(n)]...)
		offset += int(n) + 2
		if n == 0 {
			return body, offset, nil
		}
	}
}
