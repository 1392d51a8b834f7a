package obs

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxSeries is the maximum number of time series per HistogramVec. Routes and services
// come from the operator's configuration, which may hold hundreds; further label values
// are counted as "other".
const maxSeries = 64

// other replaces label values beyond maxSeries.
const other = "other"

// HistogramVec is a set of duration histograms partitioned by two labels. It is safe for
// concurrent use.
type HistogramVec struct {
	set    *metrics.Set
	name   string
	labels [2]string

	mu     sync.RWMutex
	series map[[2]string]*metrics.Histogram
}

// HistogramVec returns a new HistogramVec with the given metric name and label names.
// Call it once per name: maxSeries applies to each returned HistogramVec separately.
func (m *Metrics) HistogramVec(name, first, second string) *HistogramVec {
	return &HistogramVec{set: m.set, name: name, labels: [2]string{first, second}, series: map[[2]string]*metrics.Histogram{}}
}

// Observe records a duration under the given label values.
func (v *HistogramVec) Observe(first, second string, d time.Duration) {
	v.histogram([2]string{first, second}).Update(d.Seconds())
}

func (v *HistogramVec) histogram(key [2]string) *metrics.Histogram {
	v.mu.RLock()
	h := v.series[key]
	v.mu.RUnlock()
	if h != nil {
		return h
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.series[key] == nil {
		if len(v.series) >= maxSeries {
			key = [2]string{other, other}
		}
		if v.series[key] == nil {
			v.series[key] = v.set.GetOrCreateHistogram(v.seriesName(key))
		}
	}
	return v.series[key]
}

func (v *HistogramVec) seriesName(key [2]string) string {
	return fmt.Sprintf("%s{%s=%q,%s=%q}", v.name, v.labels[0], key[0], v.labels[1], key[1])
}
