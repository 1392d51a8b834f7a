package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// spread is the number of standard deviations left free for the uneven spread of
// connections by hashing.
const spread = 4

// hash combines two names into a value that is uniform in each of them.
func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// fit returns how many of n endpoints each of a number of ingresses may use so
// that about limit connections reach each endpoint. It solves
// m + spread*sqrt(m) = limit for the mean m = ingresses*fit/n.
func fit(ingresses, n, limit int) float64 {
	if limit <= 0 {
		return 0
	}
	half := spread / 2.0
	root := math.Sqrt(half*half+float64(limit)) - half
	return root * root * float64(n) / float64(ingresses)
}

// whole rounds a number of endpoints so that the mean over ingresses is kept: an
// ingress rounds up if its hash lies in the fraction.
func whole(number float64, ingress uint64) int {
	floor := math.Floor(number)
	if float64(ingress)/math.MaxUint64 < number-floor {
		floor++
	}
	return int(floor)
}

// plan holds the sizes of the two tiers of the subset.
type plan struct {
	local, remote int
}

// planSubset computes the sizes. Local endpoints get the connections first; calls
// spill over what is left. An ingress always has at least one endpoint.
func planSubset(cfg *Config, local, remote, limit int) plan {
	if limit <= 0 {
		return plan{local: cfg.MaxSubset, remote: cfg.MaxSubset}
	}
	own := hash(cfg.Ingress, "")
	if local == 0 {
		number := fit(cfg.Ingresses, remote, limit)
		return plan{remote: min(max(whole(number, own), 1), cfg.MaxSubset)}
	}
	number := fit(cfg.LocalIngresses, local, limit)
	p := plan{local: min(max(whole(number, own), 1), cfg.MaxSubset, local)}
	used := cfg.LocalIngresses * p.local / local
	p.remote = min(whole(fit(cfg.Ingresses, remote, limit-used), own), cfg.MaxSubset)
	return p
}

// tiers are the endpoints that may be picked: those in regular use and, in order
// of preference, those that stand in.
type tiers struct {
	local, remote, reserve []*state
}

// buildTiers takes the first eligible endpoints in rendezvous order. A new slice
// is built only when endpoints change, not per call.
func buildTiers(cfg *Config, all []*state, localDC string, eligible func(*state) bool) tiers {
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
	sizes := planSubset(cfg, local, len(all)-local, limit)
	var restLocal, restRemote []*state
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
	t.reserve = append(restLocal, restRemote...)
	return t
}

// sortByKey orders endpoints by rendezvous hash, equal hashes by ID.
func sortByKey(all []*state) {
	slices.SortFunc(all, func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
	})
}
