package obs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestHistogramVecIsBounded guards against a number of time series that grows with the
// routes of the operator's configuration.
func TestHistogramVecIsBounded(t *testing.T) {
	m := NewMetrics()
	v := m.HistogramVec("teaselseam_test_seconds", "route", "result")
	for i := range 1000 {
		v.Observe(fmt.Sprint("route-", i), "completed", time.Millisecond)
	}
	var out bytes.Buffer
	m.Set().WritePrometheus(&out)
	if got := strings.Count(out.String(), "teaselseam_test_seconds_count"); got != maxSeries+1 {
		t.Errorf("%d series, want %d and one for other labels", got, maxSeries)
	}
	if !strings.Contains(out.String(), `teaselseam_test_seconds_count{route="other",result="other"} 936`) {
		t.Error("further label values are not counted as other")
	}
}
