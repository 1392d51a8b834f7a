package obs

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxSeries bounds the histograms of one family. Routes and services come from the
// operator's configuration, which may hold hundreds; those that come later count as
// "other".
const maxSeries = 64

// other stands for label values beyond the bound.
const other = "other"

// HistogramVec is a histogram of times by two labels. It is safe for concurrent use.
type HistogramVec struct {
	set    *metrics.Set
	name   string
	labels [2]string

	mu     sync.RWMutex
	series map[[2]string]*metrics.Histogram
}

// HistogramVec returns a histogram by two labels, to be kept by its user.
func (m *Metrics) HistogramVec(name, first, second string) *HistogramVec {
	return &HistogramVec{set: m.set, name: name, labels: [2]string{first, second}, series: map[[2]string]*metrics.Histogram{}}
}

// Observe counts a time under the values of the labels.
func (f *HistogramVec) Observe(first, second string, took time.Duration) {
	f.of([2]string{first, second}).Update(took.Seconds())
}

func (f *HistogramVec) of(key [2]string) *metrics.Histogram {
	f.mu.RLock()
	h := f.series[key]
	f.mu.RUnlock()
	if h != nil {
		return h
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.series[key] == nil {
		if len(f.series) >= maxSeries {
			key = [2]string{other, other}
		}
		if f.series[key] == nil {
			f.series[key] = f.set.GetOrCreateHistogram(f.seriesName(key))
		}
	}
	return f.series[key]
}

func (f *HistogramVec) seriesName(key [2]string) string {
	return fmt.Sprintf("%s{%s=%q,%s=%q}", f.name, f.labels[0], key[0], f.labels[1], key[1])
}
