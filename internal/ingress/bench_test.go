package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/ingress"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/request"
)

// cpuTime is the CPU time of the process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for a bad pointer
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// spin uses CPU time like a backend server.
func spin(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
	}
}

// measure reports the CPU time per operation.
func measure(b *testing.B, f func()) {
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkCall gives the CPU time of a whole request over loopback, of caller,
// node and backend server together: served by a call of 1 ms, served by an empty
// one, and refused at the ingress and at the guard, which is beside the ingress or
// (peer) behind a connection between nodes.
func BenchmarkCall(b *testing.B) {
	for _, c := range []struct {
		name, key string
		work      time.Duration
		refuse    bool
		viaPeer   bool
		want      int
	}{
		{"served_1ms", testKey, time.Millisecond, false, false, http.StatusOK},
		{"served_empty", testKey, 0, false, false, http.StatusOK},
		{"refused_ingress", "unknown", 0, false, false, http.StatusUnauthorized},
		{"refused_guard", testKey, 0, true, false, http.StatusServiceUnavailable},
		{"served_empty_peer", testKey, 0, false, true, http.StatusOK},
		{"served_1ms_peer", testKey, time.Millisecond, false, true, http.StatusOK},
		{"refused_peer", testKey, 0, true, true, http.StatusServiceUnavailable},
	} {
		b.Run(c.name, func(b *testing.B) {
			var runs atomic.Int64
			address := handled(b, func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				spin(c.work)
				_, _ = io.WriteString(w, "done")
			})
			f := newFixture(b, address, c.viaPeer)
			f.limiter.refuse.Store(c.refuse)
			measure(b, func() {
				f.backend.Announce(announcement(address), time.Now())
				if a := f.send(b, "GET", "/idem", "", request.HeaderKey, c.key); a.status != c.want {
					b.Fatalf("status %d %s", a.status, a.reason)
				}
			})
			b.ReportMetric(float64(runs.Load())/float64(b.N), "runs/op")
		})
	}
}

// BenchmarkHandler gives the CPU time of a refusal in the node's own code,
// without a caller and its connection.
func BenchmarkHandler(b *testing.B) {
	f := newFixture(b, "127.0.0.1:9", false)
	in := ingress.New(f.quiet(), f.ctl, f.guard, f.backend, nil, ingress.NewServices(), ingress.NewPressureTable(func(string) float64 { return 1 }), obs.NewMetrics())
	f.limiter.refuse.Store(true)
	for key, where := range map[string]string{"unknown": "ingress", testKey: "guard"} {
		b.Run("refused_"+where, func(b *testing.B) {
			r := httptest.NewRequest(http.MethodPost, "/idem", strings.NewReader(""))
			r.Header.Set(request.HeaderKey, key)
			measure(b, func() {
				f.backend.Announce(announcement("127.0.0.1:9"), time.Now())
				in.ServeHTTP(httptest.NewRecorder(), r)
			})
		})
	}
	c := &call.Call{Guard: "other"}
	b.Run("guard_only", func(b *testing.B) { measure(b, func() { f.guard.Serve(b.Context(), c) }) })
}

func announcement(address string) control.Announcement {
	return control.Announcement{Service: "echo", Address: address, Instance: "i1"}
}
