package ingress_test

import (
	"flag"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive their requests.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	// One goroutine of the metrics library lives as long as the process.
	ignored := goleak.IgnoreAnyFunction("github.com/VictoriaMetrics/metrics.summariesSwapCron")
	if flag.Lookup("test.fuzz").Value.String() != "" {
		os.Exit(code) // the fuzzing engine has goroutines of its own
	}
	if err := goleak.Find(ignored); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}
