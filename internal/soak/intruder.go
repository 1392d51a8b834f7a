package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const intrusionInterval = 50 * time.Millisecond

// intrude sends messages and calls to the addresses at which nodes reach each other, as a
// program that is no node, and records those that succeed.
func (r *run) intrude(ctx context.Context, rnd *rand.Rand) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(intrusionInterval)
		to := r.fleet.nodes[rnd.IntN(len(r.fleet.nodes))]
		method := []string{http.MethodGet, http.MethodPost, http.MethodPut}[rnd.IntN(3)]
		path := oddPaths[rnd.IntN(len(oddPaths))]
		req, err := http.NewRequestWithContext(ctx, method, "http://"+to.addresses["peers"]+path, strings.NewReader("[]"))
		if err != nil {
			panic(err) // cannot happen: method and URL are always valid
		}
		req.Host = usualHost
		req.Header.Set("Request-Id", fmt.Sprint("intruder-", n))
		if rnd.IntN(2) == 0 {
			req.Header.Set("Teaselseam-Call", "0 1 900 0 view-mill mill guild mill "+to.currentBackend().ID())
			req.Header.Set("Teaselseam-Key", "AAAAAAAAAAAAAAAAAAAAAA")
		}
		resp, err := client.Do(req)
		if err != nil {
			continue // the node does not run, or ctx has ended
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			r.mu.Lock()
			r.intrusions = append(r.intrusions, fmt.Sprintf("%s %s to the address for nodes of %s got status %d", method, path, to.name, resp.StatusCode))
			r.mu.Unlock()
		}
	}
}
