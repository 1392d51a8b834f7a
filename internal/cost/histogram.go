package cost

import (
	"math"
	"time"
)

const (
	numBuckets   = 40
	firstBucket  = 500 * time.Microsecond // upper bound of the first bucket
	bucketsPer2x = 2                      // buckets per doubling of the run time
	maxCount     = 512                    // counts are halved when they reach this sum
	refreshEvery = 16                     // runs after which the table of rests is computed again
	// tailRest is the rest of a run that is longer than every known one, relative to its age.
	tailRest = 0.5
)

// histogram holds the run times of a route.
type histogram struct {
	counts [numBuckets]float64 // runs
	sums   [numBuckets]float64 // nanoseconds
	total  float64
	stale  int
	// runsFrom and timeFrom are the sums over a bucket and those above it.
	runsFrom, timeFrom [numBuckets + 1]float64
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(int(math.Log2(float64(d)/float64(firstBucket))*bucketsPer2x)+1, numBuckets-1)
}

func (h *histogram) add(d time.Duration) {
	if h.total >= maxCount {
		for i := range h.counts {
			h.counts[i] /= 2
			h.sums[i] /= 2
		}
		h.total /= 2
	}
	i := bucketOf(d)
	h.counts[i]++
	h.sums[i] += float64(d)
	h.total++
	if h.stale--; h.stale <= 0 || h.total < refreshEvery {
		h.refresh()
	}
}

func (h *histogram) refresh() {
	h.stale = refreshEvery
	for i := numBuckets - 1; i >= 0; i-- {
		h.runsFrom[i] = h.runsFrom[i+1] + h.counts[i]
		h.timeFrom[i] = h.timeFrom[i+1] + h.sums[i]
	}
}

// rest returns the mean rest of the runs that reached the age. Of the bucket of the age, the
// runs count that are expected to be longer.
func (h *histogram) rest(age time.Duration) time.Duration {
	age = max(age, 0)
	tail := tailRest * float64(age)
	i := bucketOf(age)
	if h.runsFrom[i] <= 0 {
		return time.Duration(tail)
	}
	// One run of unknown length at the end of the distribution.
	rest := (h.timeFrom[i] - h.runsFrom[i]*float64(age) + tail) / (h.runsFrom[i] + 1)
	if i == 0 {
		rest = (h.timeFrom[0] - h.runsFrom[0]*float64(age)) / h.runsFrom[0]
	}
	return time.Duration(max(rest, 0))
}
