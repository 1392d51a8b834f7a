package hop

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/teaselseam/teaselseam/internal/memory"
	"github.com/teaselseam/teaselseam/platform"
)

// ReadCall reads a call sent by another node. Its body must be released.
func ReadCall(r *http.Request, now time.Time, budget *memory.Budget) (*Call, error) {
	c := &Call{
		ID:     platform.ReadRequestHeader(r.Header).ID,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: EndToEndHeaders(r.Header),
	}
	if err := c.decode(r.Header.Get(CallHeader), now); err != nil {
		return nil, err
	}
	limit, err := parseTargetLimit(r.Header.Get(limitHeader))
	if err != nil {
		return nil, err
	}
	if c.MaxWait, err = parseMaxWait(r.Header.Get(maxWaitHeader)); err != nil {
		return nil, err
	}
	c.AskConfig, c.TargetLimit = len(c.Header[askConfigHeader]) > 0, limit
	RemoveNodeHeaders(c.Header)
	ahead, waits, err := readAhead(r.Header)
	if err != nil {
		return nil, err
	}
	if c.Body, err = readBody(r, 0, ahead, budget); err != nil {
		return nil, err
	}
	c.bodyWaits = waits
	return c, nil
}

// WriteToNode writes a response to the node that sent the call.
func WriteToNode(w http.ResponseWriter, resp *Response) {
	h := w.Header()
	if resp.Refusal != nil {
		resp.writeNodeHeaders(h)
		h["Content-Length"] = []string{"0"}
		h["Date"] = nil
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	copyResponseHeaders(h, resp)
	resp.writeNodeHeaders(h)
	writeBody(w, resp)
}

// WriteToCaller writes a backend server's response to the caller. If the response is
// cut off, the caller's connection is aborted, so that a truncated response does not
// look complete.
func WriteToCaller(w http.ResponseWriter, resp *Response) {
	copyResponseHeaders(w.Header(), resp)
	writeBody(w, resp)
}

func copyResponseHeaders(h http.Header, resp *Response) {
	h["Date"] = nil // nil keeps net/http from adding its own
	for k, v := range EndToEndHeaders(resp.Header) {
		h[k] = v
	}
	if len(resp.Header["Content-Type"]) == 0 {
		h["Content-Type"] = nil // nil keeps net/http from guessing one
	}
	if resp.Length >= 0 && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(resp.Length, 10)}
	}
}

func writeBody(w http.ResponseWriter, resp *Response) {
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil || resp.Rest == nil {
		resp.Close()
		return // complete, or the receiver has disconnected
	}
	defer resp.Close()
	buf := bufio.NewReaderSize(resp.Rest, readBuffer)
	n, err := io.Copy(w, buf)
	if err != nil || resp.Length >= 0 && n != resp.Length-int64(len(resp.Body)) {
		panic(http.ErrAbortHandler)
	}
}
