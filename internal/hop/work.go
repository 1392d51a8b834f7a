package hop

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// workHeader holds Response.Work: the four figures in µs and thousandths, separated by
// spaces.
const workHeader = headerPrefix + "Work"

// maxWaitHeader holds Call.MaxWait in µs.
const maxWaitHeader = headerPrefix + "Max-Wait"

const (
	maxWorkTime = time.Hour
	maxSlowdown = 100
)

// Work tells how long a call took at the node beside the backend server, and how long a new
// one is expected to take there.
type Work struct {
	Waited   time.Duration // for a slot
	Ran      time.Duration // at the backend server, including its internal calls; zero if it has not run
	Wait     time.Duration // expected wait of a new call, from the work left
	Slowdown float64       // factor on the run time that is usual there, at this moment
}

func setMaxWait(h http.Header, d time.Duration) {
	if d > 0 {
		h[maxWaitHeader] = []string{strconv.FormatInt(max(min(d, maxWorkTime).Microseconds(), 1), 10)}
	}
}

// parseMaxWait parses the value of maxWaitHeader, which is empty if there is none.
func parseMaxWait(v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 || n > maxWorkTime.Microseconds() {
		return 0, fmt.Errorf("maximum wait header %q is invalid", v)
	}
	return time.Duration(n) * time.Microsecond, nil
}

func setWork(h http.Header, w *Work) {
	if w == nil {
		return
	}
	v := make([]byte, 0, 40)
	for _, d := range [3]time.Duration{w.Waited, w.Ran, w.Wait} {
		v = append(strconv.AppendInt(v, min(max(d, 0), maxWorkTime).Microseconds(), 10), ' ')
	}
	v = strconv.AppendInt(v, int64(min(max(w.Slowdown, 1), maxSlowdown)*1000), 10)
	h[workHeader] = []string{string(v)}
}

// parseWork parses the value of workHeader, which is empty if there is none.
func parseWork(v string) (*Work, error) {
	if v == "" {
		return nil, nil
	}
	bounds := [4]int64{maxWorkTime.Microseconds(), maxWorkTime.Microseconds(), maxWorkTime.Microseconds(), maxSlowdown * 1000}
	var n [4]int64
	rest := v
	for i := range n {
		field, after, more := strings.Cut(rest, " ")
		var err error
		if n[i], err = strconv.ParseInt(field, 10, 64); err != nil || n[i] < 0 || n[i] > bounds[i] || more != (i < len(n)-1) {
			return nil, fmt.Errorf("work header %q is invalid", v)
		}
		rest = after
	}
	return &Work{
		Waited: time.Duration(n[0]) * time.Microsecond, Ran: time.Duration(n[1]) * time.Microsecond,
		Wait: time.Duration(n[2]) * time.Microsecond, Slowdown: max(float64(n[3])/1000, 1),
	}, nil
}
