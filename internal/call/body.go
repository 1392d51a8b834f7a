package call

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// ErrBodyTooLarge means that a body exceeds its limit.
var ErrBodyTooLarge = errors.New("body exceeds the limit")

// maxTrustedLength is how much memory is set aside for a request body because
// its sender announced the length, before any of it has arrived.
const maxTrustedLength = 64 << 10

// ReadBody reads a request body of at most limit bytes. The length is the one
// that the sender announced, or -1.
func ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	data, err := readUpTo(body, limit+1, min(length, maxTrustedLength))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}

// readUpTo reads at most limit bytes into a buffer made for the expected number.
func readUpTo(r io.Reader, limit, expected int64) ([]byte, error) {
	if expected == 0 {
		expected = -bytes.MinRead // the end is usually seen without a buffer
	}
	buf := bytes.NewBuffer(make([]byte, 0, max(expected+bytes.MinRead, 0)))
	_, err := buf.ReadFrom(io.LimitReader(r, limit))
	return buf.Bytes(), err
}

// onceBody is a request body that net/http cannot send a second time. It also
// hides an empty body from net/http, which would otherwise repeat a GET, or any
// method with an Idempotency-Key, on its own when a reused connection fails.
type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

// Body returns a request body that is sent at most once.
func Body(data []byte) io.ReadCloser { return onceBody{bytes.NewReader(data)} }

// SetBody gives an HTTP/1.1 request a body that is sent at most once. An empty
// body is announced by its length where net/http never repeats the request
// anyway; hidden from net/http, it would be sent in chunks, which some servers
// refuse.
func SetBody(req *http.Request, data []byte) {
	req.ContentLength = int64(len(data))
	req.Body = Body(data)
	if len(data) == 0 && !repeatable(req) {
		req.Body = http.NoBody
	}
}

// repeatable reports whether net/http would repeat a request without a body.
func repeatable(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return len(req.Header["Idempotency-Key"])+len(req.Header["X-Idempotency-Key"]) > 0
}
