//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

// pathCase: the worker beside the callers is emptied, as planned, so their requests go to the
// worker on another machine. Half of the paths hold two slashes in a row.
func pathCase(f *fleet, trouble bool) string {
	key := "6wsjnbanfqasnmgkcuyj"
	f.configure(7, []route{
		{"r-tally", "/leny950/", "safe", "tally", 5000, 1200, false},
		{"r-permit", "/puka111/", "non_idempotent", "tally", 5000, 1200, false},
	}, []tenant{{"pulo780", key, 171, 171}})
	callers := f.add("esna-1", "esna", "tally", 32, 20*time.Millisecond)
	f.add("assiut-1", "assiut", "tally", 32, 20*time.Millisecond)
	for _, n := range f.nodes {
		n.start(true)
		n.worker.start()
	}
	f.awaitReady(15*time.Second, f.nodes...)
	time.Sleep(4 * time.Second)
	if trouble {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if !callers.worker.drain(ctx) {
			cannotRun("the node did not acknowledge that its worker is draining")
		}
	}
	denied, sent := 0, 0
	for range 20 {
		for _, r := range []struct{ method, uri string }{
			{"GET", "/leny950/2f/9c"}, {"GET", "/leny950/2f//9c"}, {"POST", "/puka111/2f/9c"}, {"POST", "/puka111/2f//9c"},
		} {
			a := f.send(callers, r.method, r.uri, key, 5*time.Second, nil)
			sent++
			// A worker's answer is signed.
			if a.signature == "" && (a.status/100 == 3 || a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429) {
				denied++
			}
		}
	}
	f.rec.log("sent %d, ended with a 3xx or 4xx of the system's own: %d", sent, denied)
	if float64(denied) > 5+float64(sent)/500 {
		return fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 3xx or 4xx of the system's own", denied, sent)
	}
	return ""
}
