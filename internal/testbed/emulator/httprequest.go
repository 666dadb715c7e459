package emulator

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// HTTPRequest is a request of a gateway to an engine.
type HTTPRequest struct {
	Method, Path string
	Header       textproto.MIMEHeader
	Body         string
}

// maxBodyBytes limits the size of a request body, far above that of any statement of emulated clients.
const maxBodyBytes = 1 << 20

var errContentLength = errors.New("content length out of range")

// ReadHTTPRequest reads the next request from a connection. It returns a read error, or errContentLength if the
// Content-Length is not a number from 0 to maxBodyBytes.
func ReadHTTPRequest(r *textproto.Reader) (request HTTPRequest, err error) {
	line, err := r.ReadLine()
	if err != nil {
		return request, err
	}
	method, rest, _ := strings.Cut(line, " ")
	request.Method = method
	request.Path, _, _ = strings.Cut(rest, " ")
	if request.Header, err = r.ReadMIMEHeader(); err != nil {
		return request, err
	}
	n, err := strconv.Atoi(request.Header.Get("Content-Length"))
	if request.Header.Get("Content-Length") != "" && (err != nil || n < 0 || n > maxBodyBytes) {
		return request, errContentLength
	}
	body := make([]byte, n)
	_, err = io.ReadFull(r.R, body)
	request.Body = string(body)
	return request, err
}

// FormatHTTPResponse returns an HTTP response with a status code, a body and additional header lines.
func FormatHTTPResponse(status int, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d -\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(headers, ""), "\r\n"), body)
}
