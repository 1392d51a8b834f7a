package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"
)

var services = []string{"desk", "mill"}

// workspaces of the soak and their rates, requests a second. The burst is as much.
var rates = map[string]float64{"guild": 60, "cooper": 400}

// operatorConfig is the configuration that the soak writes, with what was allowed
// when.
type operatorConfig struct {
	mu      sync.Mutex
	version int
	keys    map[string]string    // workspace by key, in force
	revoked map[string]time.Time // acknowledgement of the withdrawal by key
	all     map[string]string    // workspace by every key that ever was
	extra   []string             // routes that come and go
	removed map[string]time.Time
}

func newOperatorConfig() *operatorConfig {
	c := &operatorConfig{keys: map[string]string{}, revoked: map[string]time.Time{}, all: map[string]string{}, removed: map[string]time.Time{}}
	for w := range rates {
		for i := range 3 {
			c.add(fmt.Sprintf("key-%s-%d", w, i), w)
		}
	}
	return c
}

func (c *operatorConfig) add(key, workspace string) { c.keys[key], c.all[key] = workspace, workspace }

// write puts the present configuration into force.
func (c *operatorConfig) write(f *fleet) {
	c.version += 2
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	routes := table{Columns: []string{"name", "host", "prefix", "kind", "service", "timeoutMs", "targetLatencyMs", "priority", "maxAttempts", "noAuth"}}
	add := func(name, prefix, kind, service string, rank int, open bool) {
		routes.Rows = append(routes.Rows, []any{name, "soak.example", prefix, kind, service, 1500, 400, rank, 2, open})
	}
	for _, s := range services {
		add("view-"+s, "/view/"+s+"/", "safe", s, 1, false)
		add("order-"+s, "/order/"+s+"/", "non_idempotent", s, 0, false)
		add("check-"+s, "/check/"+s+"/", "safe", s, 0, true)
	}
	for _, name := range c.extra {
		add(name, "/"+name+"/", "safe", services[0], 1, false)
	}
	tenants := table{Columns: []string{"name", "apiKeys", "ratePerS", "burst"}}
	for w, rate := range rates {
		var keys []string
		for k, of := range c.keys {
			if of == w {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		tenants.Rows = append(tenants.Rows, []any{w, keys, rate, rate})
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprint("r", c.version), "routes": routes, "tenants": tenants,
		"services": table{Columns: []string{"name"}, Rows: [][]any{{services[0]}, {services[1]}}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // the value has no type that cannot be encoded
	}
	f.store.Put("op", "config", value)
}

// withdraw takes a key away and gives the workspace another.
func (c *operatorConfig) withdraw(f *fleet, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.keys[key]
	if !ok {
		return
	}
	delete(c.keys, key)
	c.add(fmt.Sprintf("key-%s-%d", w, len(c.all)), w)
	c.write(f)
	c.revoked[key] = time.Now()
}

// toggleRoute adds a route, or removes the oldest.
func (c *operatorConfig) toggleRoute(f *fleet, add bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if add {
		c.extra = append(c.extra, fmt.Sprint("extra", c.version))
		c.write(f)
		return
	}
	if len(c.extra) == 0 {
		return
	}
	name := c.extra[0]
	c.extra = c.extra[1:]
	c.write(f)
	c.removed["/"+name+"/"] = time.Now()
}

// choose returns a key, mostly one in force, and the prefix of a route.
func (c *operatorConfig) choose(pick func(n int) int) (key, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]string, 0, len(c.keys)+len(c.revoked))
	for k := range c.keys {
		keys = append(keys, k, k, k)
	}
	for k := range c.revoked {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	prefixes := []string{"/view/desk/", "/view/mill/", "/order/desk/", "/order/mill/", "/view/desk/nested-"}
	for _, e := range c.extra {
		prefixes = append(prefixes, "/"+e+"/")
	}
	for p := range c.removed {
		prefixes = append(prefixes, p)
	}
	slices.Sort(prefixes)
	return keys[pick(len(keys))], prefixes[pick(len(prefixes))]
}
