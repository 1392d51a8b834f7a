package hop

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/teaselseam/teaselseam/internal/memory"
)

// Body is a request body. Data holds all of it, or its beginning if Rest is set.
//
// Rest can be read once. The attempts of a call share it: an attempt may read it as long as no
// other has begun to, and once one has, no other sends the body at all, since it would send a
// part of it as the whole.
type Body struct {
	Data   []byte
	Rest   io.Reader // what follows Data; nil if Data is the whole body
	Length int64     // length of the whole body; -1 if unknown

	memory *memory.Reservation // for Data; nil if it is not accounted for
}

// Release gives back the memory of the body once it is not needed any more.
func (b *Body) Release() { b.memory.Release() }

var (
	// errRestTaken is returned to an attempt that may not read the rest of the request body:
	// another attempt has begun to, or the attempt is over.
	errRestTaken = errors.New("rest of the request body belongs to another attempt")
	// errRestNotWanted is returned if the peer has answered without asking for the rest.
	errRestNotWanted = errors.New("peer has answered without the rest of the request body")
)

// Repeatable reports whether the body can be sent by another attempt: none has begun to read
// its rest.
func (b *Body) Repeatable() bool {
	if b.Rest == nil {
		return true
	}
	r, ok := b.Rest.(*bodyRest)
	return ok && r.unread()
}

// Retract keeps earlier attempts from beginning to read the rest. It returns whether the body
// can be sent by another attempt, which then remains so.
func (b *Body) Retract() bool {
	if r, ok := b.Rest.(*bodyRest); ok {
		return r.assign(nil)
	}
	return b.Rest == nil
}

// bodyRest is the part of a request body that is not buffered.
type bodyRest struct {
	r io.Reader
	// ask requests the rest from the sender of the body before it is read. It returns false if
	// that is no longer possible. It is nil if the sender sends the rest by itself.
	ask func() bool

	mu    sync.Mutex
	owner *attemptRest // the attempt that may begin to read; nil for none
	begun bool         // an attempt has begun to read
	eof   bool         // it has been read to its end
}

// ended reports whether the rest has been read to its end.
func (r *bodyRest) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eof
}

func (r *bodyRest) setEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eof = true
}

// Read implements io.Reader for Body.Rest. Attempts read through attemptRest.
func (r *bodyRest) Read([]byte) (int, error) { return 0, errRestTaken }

func (r *bodyRest) unread() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.begun
}

// assign lets an attempt read, and no other. It returns false if one has begun already.
func (r *bodyRest) assign(a *attemptRest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.begun {
		r.owner = a
	}
	return !r.begun
}

// begin records that an attempt reads from now on.
func (r *bodyRest) begin(a *attemptRest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun || r.owner != a {
		return false
	}
	r.begun = true
	return r.ask == nil || r.ask()
}

// attemptRest reads the rest of a request body for one attempt.
type attemptRest struct {
	r      io.Reader
	shared *bodyRest // nil if there is only this attempt
	begun  bool

	// asked is closed when the peer asks for the rest, ended when it has answered. Both are
	// nil if the rest is sent without being asked for.
	asked, ended chan struct{}
	once         sync.Once
}

// newAttemptRest returns the rest of a body for a new attempt, nil if there is none. If hold is
// set, it is read only once the peer asks for it.
func newAttemptRest(b *Body, hold bool) (*attemptRest, error) {
	if b.Rest == nil {
		return nil, nil
	}
	a := &attemptRest{r: b.Rest}
	if hold {
		a.asked, a.ended = make(chan struct{}), make(chan struct{})
	}
	if shared, ok := b.Rest.(*bodyRest); ok {
		a.r, a.shared = shared.r, shared
		if !shared.assign(a) {
			return nil, errRestTaken
		}
	}
	return a, nil
}

// peerAsks records that the peer asks for the rest.
func (a *attemptRest) peerAsks() {
	if a != nil && a.asked != nil {
		a.once.Do(func() { close(a.asked) })
	}
}

// answered records that the exchange has ended. A rest that was not asked for is not read.
func (a *attemptRest) answered() {
	if a != nil && a.ended != nil {
		close(a.ended)
	}
}

// Read implements io.Reader.
func (a *attemptRest) Read(b []byte) (int, error) {
	if !a.begun {
		if err := a.begin(); err != nil {
			return 0, err
		}
		a.begun = true
	}
	n, err := a.r.Read(b)
	if err == io.EOF && a.shared != nil {
		a.shared.setEnded()
	}
	return n, err
}

func (a *attemptRest) begin() error {
	if a.asked != nil {
		select {
		case <-a.asked:
		case <-a.ended:
			return errRestNotWanted
		}
	}
	if a.shared != nil && !a.shared.begin(a) {
		return errRestTaken
	}
	return nil
}

// ErrBodyTooLarge is returned if a request body exceeds the limit.
var ErrBodyTooLarge = errors.New("request body exceeds the size limit")

// ReadBody reads up to MaxBufferedBody bytes of a request body, or less if there is no room for
// them in the budget, and leaves the rest to be streamed. A limit of zero means no limit. The body
// must be released.
func ReadBody(r *http.Request, limit int64, budget *memory.Budget) (Body, error) {
	return readBody(r, limit, MaxBufferedBody, budget)
}

// readBody is ReadBody for at most buffered bytes.
func readBody(r *http.Request, limit int64, buffered int, budget *memory.Budget) (Body, error) {
	if limit > 0 && r.ContentLength > limit {
		return Body{}, ErrBodyTooLarge
	}
	if r.ContentLength == 0 {
		return Body{}, nil
	}
	reserved := budget.Reserve()
	data, whole, err := readBuffered(r.Body, r.ContentLength, buffered, reserved)
	if err != nil {
		reserved.Release()
		return Body{}, fmt.Errorf("read request body: %w", err)
	}
	if whole {
		return Body{Data: data, Length: int64(len(data)), memory: reserved}, nil
	}
	rest := io.Reader(r.Body)
	if limit > 0 && r.ContentLength < 0 {
		rest = &limitedReader{r: r.Body, remaining: limit - int64(len(data)), exceeded: ErrBodyTooLarge}
	}
	return Body{Data: data, Rest: &bodyRest{r: rest}, Length: r.ContentLength, memory: reserved}, nil
}

// limitedReader fails once the limit is exceeded. Unlike io.LimitedReader it never
// reports io.EOF there, so that a body that is too long is aborted instead of being
// passed on truncated.
type limitedReader struct {
	r         io.Reader
	remaining int64
	exceeded  error // returned once more than the remaining bytes were read
}

func (l *limitedReader) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	if l.remaining -= int64(n); l.remaining < 0 {
		return 0, l.exceeded
	}
	return n, err
}

// readBuffered reads at most limit bytes of a body with the given length (-1 if unknown) into
// memory, and no more than there is room for. It returns whether that was the whole body.
func readBuffered(r io.Reader, length int64, limit int, reserved *memory.Reservation) ([]byte, bool, error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > 0 {
		want := min(length, int64(limit))
		if !reserved.GrowTo(want) {
			want = min(want, memory.Floor)
		}
		data := make([]byte, want)
		if _, err := io.ReadFull(r, data); err != nil {
			return nil, false, err
		}
		// A body of known length is not chunked, so no trailer remains to be read.
		return data, want == length, nil
	}
	data := make([]byte, 0, min(memory.Floor, limit))
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(data) < cap(data) {
			continue
		}
		size := min(2*cap(data), limit)
		if size == cap(data) || !reserved.GrowTo(int64(size)) {
			return data, false, nil
		}
		data = append(make([]byte, 0, size), data...)
	}
}

// Between nodes, the rest of a body is sent on demand. The sender states in aheadHeader how much
// of the body it sends by itself, and sends the rest once the receiving node asks for it by an
// interim response with status 100. That node asks when it begins to send the rest to its backend
// server, so a call that it refuses keeps a body that can be sent to another node.

// aheadHeader holds the number of bytes of the body that are sent without being asked for.
const aheadHeader = headerPrefix + "Body-Ahead"

// setAhead announces that only the data of the body is sent without being asked for.
func setAhead(h http.Header, b *Body) {
	h[aheadHeader] = []string{strconv.Itoa(len(b.Data))}
}

// readAhead returns how many bytes of the body can be read without asking for more, and whether
// the sender waits to be asked.
func readAhead(h http.Header) (n int, waits bool, err error) {
	v := h.Get(aheadHeader)
	if v == "" {
		return MaxBufferedBody, false, nil // a node of an earlier release
	}
	if n, err = strconv.Atoi(v); err != nil || n < 0 {
		return 0, false, fmt.Errorf("header %s: %q is no size", aheadHeader, v)
	}
	return min(n, MaxBufferedBody), true, nil
}

// AskForBody makes the sender of a call be asked for the rest of its body when that is read. end
// must be called before the response is written. It asks at the latest then if the rest may still be
// read while the response is streamed. It has no effect on a call whose body arrives by itself.
func (c *Call) AskForBody(w http.ResponseWriter) (end func(resp *Response)) {
	rest, ok := c.Body.Rest.(*bodyRest)
	if !ok || !c.bodyWaits {
		return func(*Response) {}
	}
	var mu sync.Mutex
	asked, ended := false, false
	rest.ask = func() bool {
		mu.Lock()
		defer mu.Unlock()
		if !asked && !ended {
			w.WriteHeader(http.StatusContinue)
			asked = true
		}
		return asked
	}
	return func(resp *Response) {
		if resp.Refusal == nil && resp.Rest != nil {
			rest.ask()
		}
		mu.Lock()
		ended = true
		mu.Unlock()
	}
}

// LeaveUnread keeps the server from reading the rest of the body when the response to its request
// is written: it would discard what an attempt is still sending, or wait for what nobody sends. The
// connection is closed behind the response unless the body has been read to its end.
func (b *Body) LeaveUnread(w http.ResponseWriter) {
	rest, ok := b.Rest.(*bodyRest)
	if !ok || rest.ended() {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex() // fails for writers of tests only
	w.Header()["Connection"] = []string{"close"}
}
