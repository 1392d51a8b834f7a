package quota

import (
	"math"
	"slices"

	"github.com/teaselseam/teaselseam/internal/ring"
)

// Limit is a workspace's rate in tokens per second and its burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// minPart is the smallest part of a burst, in tokens. Smaller parts are refilled
// less than their share, because tokens on their way count as in the bucket.
const minPart = 16

// Part returns the part of a data centre. The limit is split equally between the
// data centres, or between fewer of them, chosen by rendezvous hashing, where parts
// would be smaller than minPart. The others borrow all their tokens. The parts of
// all data centres sum to the limit.
func Part(l Limit, workspace, dataCentre string, dataCentres []string) Limit {
	n := min(len(dataCentres), max(1, int(math.Min(l.Burst/minPart, float64(len(dataCentres))))))
	if n == 0 || !slices.Contains(ring.Rank(workspace, dataCentres)[:n], dataCentre) {
		return Limit{}
	}
	return Limit{Rate: l.Rate / float64(n), Burst: l.Burst / float64(n)}
}

func smaller(a, b Limit) Limit {
	return Limit{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}
