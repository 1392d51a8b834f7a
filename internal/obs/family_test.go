package obs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestFamilyIsBounded guards against metrics that grow with the routes of the operator's
// configuration.
func TestFamilyIsBounded(t *testing.T) {
	m := NewMetrics()
	f := m.HistogramVec("teaselseam_test_seconds", "route", "result")
	for i := range 1000 {
		f.Observe(fmt.Sprint("route-", i), "completed", time.Millisecond)
	}
	var out bytes.Buffer
	m.Set().WritePrometheus(&out)
	if got := strings.Count(out.String(), "teaselseam_test_seconds_count"); got != maxSeries+1 {
		t.Errorf("%d series, want %d and one for the rest", got, maxSeries)
	}
	if !strings.Contains(out.String(), `teaselseam_test_seconds_count{route="other",result="other"} 936`) {
		t.Error("the rest is not counted")
	}
}
