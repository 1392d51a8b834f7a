package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/platform"
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
	conf := &platform.Configuration{Version: uint64(c.version), Workspaces: []platform.Workspace{}, Limits: platform.Limits{
		HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	add := func(name, prefix, service string, rank int, idempotent, open bool) {
		conf.Routes = append(conf.Routes, platform.Route{
			Name: name, Host: "soak.example", Prefix: prefix, Services: []platform.WeightedService{{Service: service, Weight: 1}},
			Idempotent: idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 400 * time.Millisecond,
			Priority: rank, MaxAttempts: maxAttempts, Public: open,
		})
	}
	for _, s := range services {
		conf.Services = append(conf.Services, platform.Service{Name: s})
		add("view-"+s, "/view/"+s+"/", s, 1, true, false)
		add("order-"+s, "/order/"+s+"/", s, 0, false, false)
		add("check-"+s, "/check/"+s+"/", s, 0, true, true)
	}
	for _, name := range c.extra {
		add(name, "/"+name+"/", services[0], 1, true, false)
	}
	for w, rate := range rates {
		var keys []string
		for k, of := range c.keys {
			if of == w {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		conf.Workspaces = append(conf.Workspaces, platform.Workspace{Name: w, Keys: keys, Rate: rate, Burst: rate})
	}
	value, err := platform.EncodeConfiguration(conf)
	if err != nil {
		panic(err) // the configuration has no value that cannot be encoded
	}
	f.store.Put(platform.ConfigurationTable, platform.ConfigurationKey, value)
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
