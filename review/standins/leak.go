//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// leakCase: a route takes all paths of its host. The worker beside a tenant's clients is emptied,
// as planned, so their requests go to the worker on another machine. Some paths are also names of
// messages between nodes, and some hold two slashes in a row.
func leakCase(f *fleet, trouble bool) string {
	tenants := []tenant{{"pulo780", "6wsjnbanfqasnmgkcuyj", 171, 171}, {"hasi221", "8pjbvk9m68k7b2ex5wa5", 171, 171}}
	f.configure(7, []route{{"r-tally", "/", "safe", "tally", 5000, 1200, false}}, tenants)
	callers := f.add("esna-1", "esna", "tally", 32, 20*time.Millisecond)
	for _, name := range []string{"assiut-1", "assiut-2", "aswan-1", "aswan-2"} { // one worker of five leaves
		f.add(name, name[:len(name)-2], "tally", 32, 20*time.Millisecond)
	}
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
	unsigned, foreignKeys, denied, sent := 0, 0, 0, 0
	for range 10 {
		for _, uri := range []string{"/2f/9c", "/2f//9c", "/teaselseam/configuration", "/teaselseam/alive"} {
			a := f.send(callers, "GET", uri, tenants[0].key, 5*time.Second, nil)
			sent++
			switch {
			case a.signature != "":
			case a.status/100 == 2:
				unsigned++
				if strings.Contains(a.body, tenants[1].key) {
					foreignKeys++
					f.rec.log("%s: the answer to a client of %s holds the key of %s", a.id, tenants[0].name, tenants[1].name)
				}
			case a.status/100 == 3, a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429:
				denied++
			}
		}
	}
	f.rec.log("sent %d; successes without a worker's signature: %d, of them with the key of another tenant: %d; ended with a 3xx or 4xx of the system's own: %d",
		sent, unsigned, foreignKeys, denied)
	if unsigned > 0 {
		return fmt.Sprintf("MIXED: %d successes that no worker signed, %d of them with the key of another tenant; besides, %d requests were redirected", unsigned, foreignKeys, denied)
	}
	return ""
}
