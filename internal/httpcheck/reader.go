// Package httpcheck rejects malformed HTTP/1.1 responses on a connection.
//
// net/http reads responses leniently: it drops a field whose name has a blank, and with it the
// length or the encoding that it states, and takes a status below 100 for an interim response. The
// body that is found then is not the one that was sent. A Reader stands between the connection
// and whatever parses the responses, and fails before the end of the first malformed line: status
// lines, fields, chunk sizes and trailers, of interim and of final responses. It follows the framing,
// so that it also knows whether a response is complete.
//
// It accepts less than RFC 9112 lets a recipient accept: no line that ends without a carriage
// return, no folded fields, and no response with both a length and a transfer encoding.
package httpcheck

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// ErrMalformed is the error of a malformed response.
var ErrMalformed = errors.New("malformed response")

const (
	maxLine    = 32 << 10 // bytes of a line
	maxTrailer = 32 << 10 // bytes of all trailer fields
	// maxSizeDigits is the length of a chunk size that fits into an int64.
	maxSizeDigits = 15
)

// state is what a Reader expects next.
type state uint8

const (
	statusLine state = iota
	field
	body // with a length
	chunkSize
	chunkData
	chunkEnd
	trailer
	unframed // a body that ends with the connection
)

// Reader passes on the responses that it reads and fails at the first malformed one.
type Reader struct {
	r      io.Reader
	method string // of the request to which the next response belongs
	err    error  // of all further reads

	state     state
	line      []byte // beginning of a line that is not complete
	remaining int64  // bytes of the body or the chunk that are still to come
	trailer   int    // bytes of the trailer so far

	status      int
	http10      bool
	length      int64 // stated by the response; -1 for none
	hasEncoding bool
}

// NewReader returns a Reader of a connection on which no response has begun.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Expect states the method of the request to which the next response belongs. The response to
// HEAD has no body.
func (r *Reader) Expect(method string) { r.method = method }

// Idle reports whether nothing was read behind the last complete response, and that was not
// malformed.
func (r *Reader) Idle() bool { return r.err == nil && r.state == statusLine && len(r.line) == 0 }

// Read implements io.Reader. What stands before a malformed line is passed on, the end of that
// line is not.
func (r *Reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.r.Read(b)
	valid, malformed := r.check(b[:n])
	if malformed == nil {
		return n, err
	}
	r.err, r.line = fmt.Errorf("%w: %w", ErrMalformed, malformed), nil
	if valid > 0 {
		return valid, nil
	}
	return 0, r.err
}

// check follows the responses in b and returns how much of it may be passed on.
func (r *Reader) check(b []byte) (valid int, err error) {
	for valid < len(b) {
		switch r.state {
		case unframed:
			return len(b), nil
		case body, chunkData:
			valid += r.skip(int64(len(b) - valid))
		default:
			n, err := r.readLine(b[valid:])
			if valid += n; err != nil {
				return valid, err
			}
		}
	}
	return valid, nil
}

// skip passes over at most n bytes of a body.
func (r *Reader) skip(n int64) int {
	n = min(n, r.remaining)
	if r.remaining -= n; r.remaining == 0 {
		if r.state == chunkData {
			r.state = chunkEnd
		} else {
			r.state = statusLine
		}
	}
	return int(n)
}

// readLine reads up to the end of a line. With an error it returns how much stands before that.
func (r *Reader) readLine(b []byte) (n int, err error) {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	if len(r.line)+len(part) > maxLine {
		return 0, errors.New("line exceeds the size limit")
	}
	if end < 0 {
		r.line = append(r.line, part...)
		return len(b), nil
	}
	line := part
	if len(r.line) > 0 {
		line = append(r.line, part...)
	}
	r.line = nil
	text, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return end, errors.New("line ends without a carriage return")
	}
	if err := r.endLine(string(text)); err != nil {
		return end, err
	}
	return end + 1, nil
}

// endLine checks a complete line.
func (r *Reader) endLine(line string) error {
	switch r.state {
	case statusLine:
		return r.beginResponse(line)
	case field:
		if line == "" {
			return r.endHead()
		}
		return r.readField(line)
	case chunkSize:
		return r.beginChunk(line)
	case chunkEnd:
		if line != "" {
			return errors.New("chunk is longer than its size")
		}
		r.state = chunkSize
	case trailer:
		if line == "" {
			r.state = statusLine
			return nil
		}
		if r.trailer += len(line); r.trailer > maxTrailer {
			return errors.New("trailer exceeds the size limit")
		}
		_, _, err := cutField(line)
		return err
	}
	return nil
}

const (
	minStatus = 100
	maxStatus = 599
)

func (r *Reader) beginResponse(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return fmt.Errorf("status line begins with %.20q", line)
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus {
		return fmt.Errorf("status %.20q", code)
	}
	if !isFieldValue(reason) {
		return errors.New("control byte in the status line")
	}
	r.status, r.http10, r.length, r.hasEncoding = status, version == "HTTP/1.0", -1, false
	r.state = field
	return nil
}

func (r *Reader) readField(line string) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil || r.length >= 0 && r.length != int64(n) {
			return fmt.Errorf("content length %.20q", value)
		}
		r.length = int64(n)
	case strings.EqualFold(name, "Transfer-Encoding"):
		if r.hasEncoding || r.http10 || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("transfer encoding %.20q", value)
		}
		r.hasEncoding = true
	}
	return nil
}

// endHead decides how the body is framed.
func (r *Reader) endHead() error {
	if r.hasEncoding && r.length >= 0 {
		return errors.New("both a length and a transfer encoding")
	}
	switch {
	case r.status < http.StatusOK, r.status == http.StatusNoContent, r.status == http.StatusNotModified, r.method == http.MethodHead:
		r.state = statusLine
	case r.hasEncoding:
		r.state = chunkSize
	case r.length < 0:
		r.state = unframed
	case r.length == 0:
		r.state = statusLine
	default:
		r.state, r.remaining = body, r.length
	}
	return nil
}

func (r *Reader) beginChunk(line string) error {
	size, extension, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t") // which RFC 9112 allows before an extension
	n, err := strconv.ParseUint(size, 16, 63)
	if err != nil || len(size) > maxSizeDigits || !isFieldValue(extension) {
		return fmt.Errorf("chunk size %.20q", line)
	}
	if n == 0 {
		r.state, r.trailer = trailer, 0
		return nil
	}
	r.state, r.remaining = chunkData, int64(n)
	return nil
}

// cutField splits a field line.
func cutField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return "", "", fmt.Errorf("field name %.40q", name)
	}
	if !isFieldValue(value) {
		return "", "", fmt.Errorf("control byte in the value of field %s", name)
	}
	return name, strings.Trim(value, " \t"), nil
}

// isToken reports whether s is a token of RFC 9110, such as the name of a field.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if ('a' > c || c > 'z') && ('A' > c || c > 'Z') && ('0' > c || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s has no control bytes but tabs.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// conn is a connection whose responses are read through a Reader.
type conn struct {
	net.Conn
	r *Reader
}

// WrapConn returns a connection on which reading fails at the first malformed response. It is for
// clients that send no HEAD requests.
func WrapConn(nc net.Conn) net.Conn { return &conn{Conn: nc, r: NewReader(nc)} }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.r.Read(b) }
