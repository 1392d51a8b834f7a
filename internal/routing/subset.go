package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// stdDevMargin is the number of standard deviations kept free below the connection limit
// because hashing distributes connections unevenly.
const stdDevMargin = 4

// hash maps two names to a value that is uniformly distributed over either of them.
func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// endpointsPerIngress returns how many of n endpoints each ingress may use so that each
// endpoint gets about limit connections. It solves m + stdDevMargin*sqrt(m) = limit for
// the mean number of connections m = ingresses*endpointsPerIngress/n.
func endpointsPerIngress(ingresses, n, limit int) float64 {
	if limit <= 0 {
		return 0
	}
	half := stdDevMargin / 2.0
	root := math.Sqrt(half*half+float64(limit)) - half
	return root * root * float64(n) / float64(ingresses)
}

// roundByHash rounds a count of endpoints such that the mean over all ingresses is
// preserved: an ingress rounds up if its hash, scaled to 0..1, is below the fractional
// part.
func roundByHash(count float64, ingressHash uint64) int {
	floor := math.Floor(count)
	if float64(ingressHash)/math.MaxUint64 < count-floor {
		floor++
	}
	return int(floor)
}

// subsetSizes holds the maximum number of endpoints in the two tiers of the subset.
type subsetSizes struct {
	local, remote int
}

// computeSubsetSizes derives the tier sizes from the connection limit. Connections from
// the local data centre have priority; the rest of the limit is used for spillover from
// other data centres. An ingress always has at least one endpoint.
func computeSubsetSizes(cfg *Config, local, remote, limit int) subsetSizes {
	if limit <= 0 {
		return subsetSizes{local: cfg.MaxSubset, remote: cfg.MaxSubset}
	}
	ingressHash := hash(cfg.Ingress, "")
	if local == 0 {
		count := endpointsPerIngress(cfg.Ingresses, remote, limit)
		return subsetSizes{remote: min(max(roundByHash(count, ingressHash), 1), cfg.MaxSubset)}
	}
	count := endpointsPerIngress(cfg.LocalIngresses, local, limit)
	sizes := subsetSizes{local: min(max(roundByHash(count, ingressHash), 1), cfg.MaxSubset, local)}
	used := cfg.LocalIngresses * sizes.local / local
	sizes.remote = min(roundByHash(endpointsPerIngress(cfg.Ingresses, remote, limit-used), ingressHash), cfg.MaxSubset)
	return sizes
}

// tiers holds the endpoints that may be picked: those in regular use (local and remote)
// and, in order of preference, the fallback.
type tiers struct {
	local, remote, fallback []*endpointState
}

// buildTiers fills the tiers with the first eligible endpoints in rendezvous order. It
// runs only when endpoints change or an ejection ends, not per call.
func buildTiers(cfg *Config, all []*endpointState, localDC string, eligible func(*endpointState) bool) tiers {
	var t tiers
	limit, local := 0, 0
	for _, s := range all {
		if s.MaxConns > 0 && (limit == 0 || s.MaxConns < limit) {
			limit = s.MaxConns
		}
		if s.DataCentre == localDC {
			local++
		}
	}
	sizes := computeSubsetSizes(cfg, local, len(all)-local, limit)
	var restLocal, restRemote []*endpointState
	for _, s := range all {
		switch {
		case !eligible(s):
		case s.DataCentre == localDC && len(t.local) < sizes.local:
			t.local = append(t.local, s)
		case s.DataCentre == localDC:
			restLocal = append(restLocal, s)
		case len(t.remote) < sizes.remote:
			t.remote = append(t.remote, s)
		default:
			restRemote = append(restRemote, s)
		}
	}
	t.fallback = append(restLocal, restRemote...)
	return t
}

// sortByKey sorts endpoints by rendezvous hash, and by ID where hashes are equal.
func sortByKey(all []*endpointState) {
	slices.SortFunc(all, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
	})
}
