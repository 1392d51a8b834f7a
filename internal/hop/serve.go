package hop

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// ErrBodyTooLarge is the error of a body beyond the limit.
var ErrBodyTooLarge = errors.New("the body exceeds the limit")

// ReadBody reads the body of a request, up to MaxBuffered bytes; the rest stays
// to be read while it is passed on.
func ReadBody(r *http.Request, limit int64) (Body, error) {
	if limit > 0 && r.ContentLength > limit {
		return Body{}, ErrBodyTooLarge
	}
	data, whole, err := ReadUpTo(r.Body, r.ContentLength)
	if err != nil {
		return Body{}, fmt.Errorf("body of the request: %w", err)
	}
	if whole {
		return Body{Data: data, Length: int64(len(data))}, nil
	}
	rest := io.Reader(r.Body)
	if limit > 0 && r.ContentLength < 0 {
		rest = &limited{r: r.Body, left: limit - int64(len(data))}
	}
	return Body{Data: data, Rest: rest, Length: r.ContentLength}, nil
}

// limited fails once more bytes come than the limit allows, so that the request
// breaks off instead of ending early.
type limited struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limited) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	if l.left -= int64(n); l.left < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// ReadCall decodes a call that another node has sent.
func ReadCall(r *http.Request, now time.Time) (*Call, error) {
	c := &Call{
		ID:     platform.ReadRequestHeader(r.Header).ID,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: EndToEndHeaders(r.Header),
	}
	if err := c.decode(r.Header.Get(CallHeader), now); err != nil {
		return nil, err
	}
	c.AskConfig = len(c.Header[askHeader]) > 0
	delete(c.Header, CallHeader)
	delete(c.Header, askHeader)
	body, err := ReadBody(r, 0)
	if err != nil {
		return nil, err
	}
	c.Body = body
	return c, nil
}

// WriteToNode writes an answer to the node that sent the call.
func WriteToNode(w http.ResponseWriter, a *Response) {
	h := w.Header()
	if a.Refusal != nil {
		a.writeAnswerHeaders(h)
		h["Content-Length"] = []string{"0"}
		h["Date"] = nil
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	copyAnswer(h, a)
	a.writeAnswerHeaders(h)
	writeBody(w, a)
}

// WriteToCaller writes a backend server's answer to the caller. If it breaks off
// on the way, so does the caller's connection: an answer that ends early must not
// look complete.
func WriteToCaller(w http.ResponseWriter, a *Response) {
	copyAnswer(w.Header(), a)
	writeBody(w, a)
}

func copyAnswer(h http.Header, a *Response) {
	h["Date"] = nil // the server would add its own
	for k, v := range EndToEndHeaders(a.Header) {
		h[k] = v
	}
	if len(a.Header["Content-Type"]) == 0 {
		h["Content-Type"] = nil // the server would guess one
	}
	if a.Length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(a.Length, 10)}
	}
}

func writeBody(w http.ResponseWriter, a *Response) {
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil || a.Rest == nil {
		a.Close()
		return // the caller has left
	}
	defer a.Close()
	buf := bufio.NewReaderSize(a.Rest, readBuffer)
	n, err := io.Copy(w, buf)
	if err != nil || a.Length >= 0 && n != a.Length-int64(len(a.Body)) {
		panic(http.ErrAbortHandler)
	}
}
