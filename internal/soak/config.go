package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
	"github.com/teaselseam/teaselseam/platform"
)

// Hosts of requests. One route takes all paths of oddHost.
const (
	usualHost = "soak.example"
	oddHost   = "odd.example"
)

var services = []string{"desk", "mill"}

// A route whose requests must run at most once is moved between the services. One of them takes
// much longer for its requests.
const (
	movedPrefix = "/moved/"
	slowService = "mill"
	movedWork   = 400 * time.Millisecond
)

// workspaceRates has the rate of each workspace in requests/s. The burst is one
// second's worth of requests.
var workspaceRates = map[string]float64{"guild": 60, "cooper": 400}

// operatorConfig is the configuration that the soak test writes. It records when keys
// were revoked and routes removed, for the checks.
type operatorConfig struct {
	changes sync.Mutex // serialises changes; taken before mu

	mu              sync.Mutex
	version         int
	movedTo         int                  // index of the service of the moved route
	written         []byte               // row of the current configuration
	activeKeys      map[string]string    // workspace by key, without revoked keys
	revokedKeys     map[string]time.Time // when the write that revoked the key returned, by key
	workspaceByKey  map[string]string    // workspace by key, including revoked keys
	covered         int                  // number of the route that covers crashingPath; zero for none
	extraRoutes     []string             // names of the routes that are added and removed during the run
	removedPrefixes map[string]time.Time // when the route was removed, by path prefix
}

func newOperatorConfig() *operatorConfig {
	c := &operatorConfig{activeKeys: map[string]string{}, revokedKeys: map[string]time.Time{}, workspaceByKey: map[string]string{}, removedPrefixes: map[string]time.Time{}}
	for w := range workspaceRates {
		for i := range 3 {
			c.addKey(fmt.Sprintf("key-%s-%d", w, i), w)
		}
	}
	return c
}

func (c *operatorConfig) addKey(key, w string) { c.activeKeys[key], c.workspaceByKey[key] = w, w }

// write stores the current configuration with a new version. The caller holds c.mu,
// except before the nodes start.
func (c *operatorConfig) write(f *fleet) {
	c.version += 2
	conf := &platform.Configuration{Version: uint64(c.version), Workspaces: []platform.Workspace{}, Limits: platform.Limits{
		HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	add := func(name, prefix, service string, priority int, idempotent, public bool) *platform.Route {
		conf.Routes = append(conf.Routes, platform.Route{
			Name: name, Host: usualHost, Prefix: prefix, Services: []platform.WeightedService{{Service: service, Weight: 1}},
			Idempotent: idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 400 * time.Millisecond,
			Priority: priority, MaxAttempts: maxAttempts, Public: public,
		})
		return &conf.Routes[len(conf.Routes)-1]
	}
	for _, s := range services {
		conf.Services = append(conf.Services, platform.Service{Name: s})
		add("view-"+s, "/view/"+s+"/", s, 1, true, false)
		add("order-"+s, "/order/"+s+"/", s, 0, false, false)
		add("check-"+s, "/check/"+s+"/", s, 0, true, true)
		add("long-"+s, "/long/"+s+"/", s, 0, false, false).Timeout = longDeadline
	}
	add("moved", movedPrefix, services[c.movedTo], 0, false, false).Timeout = longDeadline
	if c.covered > 0 {
		add(fmt.Sprint("covering", c.covered), crashingPrefix, services[0], 1, true, true)
	}
	add("all", "/", services[1], 1, true, false).Host = oddHost
	for _, name := range c.extraRoutes {
		add(name, "/"+name+"/", services[0], 1, true, false)
	}
	for w, rate := range workspaceRates {
		var keys []string
		for k, workspace := range c.activeKeys {
			if workspace == w {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		conf.Workspaces = append(conf.Workspaces, platform.Workspace{Name: w, Keys: keys, Rate: rate, Burst: rate})
	}
	value, err := platform.EncodeConfiguration(conf)
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	f.store.Put(platform.ConfigurationTable, platform.ConfigurationKey, value)
	c.written = value
}

// comeBack brings the store back from a copy and, after a while, writes the configuration
// again. Meanwhile the configuration does not change.
func (c *operatorConfig) comeBack(f *fleet, copied *standin.Copy, rewriteAfter time.Duration) {
	c.changes.Lock()
	defer c.changes.Unlock()
	f.store.ComeBack(copied)
	f.store.SetFaults(standin.Faults{})
	time.Sleep(rewriteAfter)
	c.mu.Lock()
	defer c.mu.Unlock()
	f.store.Put(platform.ConfigurationTable, platform.ConfigurationKey, c.written)
}

// revokeKey revokes a key and issues another to its workspace.
func (c *operatorConfig) revokeKey(f *fleet, key string) {
	c.changes.Lock()
	defer c.changes.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.activeKeys[key]
	if !ok {
		return
	}
	delete(c.activeKeys, key)
	c.addKey(fmt.Sprintf("key-%s-%d", w, len(c.workspaceByKey)), w)
	c.write(f)
	c.revokedKeys[key] = time.Now()
}

// moveRoute moves a route to the other service.
func (c *operatorConfig) moveRoute(f *fleet) {
	c.changes.Lock()
	defer c.changes.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.movedTo = (c.movedTo + 1) % len(services)
	c.write(f)
}

// coverCrashing adds a route that covers the path of the request that crashes backend servers.
func (c *operatorConfig) coverCrashing(f *fleet) {
	c.changes.Lock()
	defer c.changes.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.covered++
	c.write(f)
}

// changeRoutes adds an extra route, or removes the oldest one.
func (c *operatorConfig) changeRoutes(f *fleet, add bool) {
	c.changes.Lock()
	defer c.changes.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if add {
		c.extraRoutes = append(c.extraRoutes, fmt.Sprint("extra", c.version))
		c.write(f)
		return
	}
	if len(c.extraRoutes) == 0 {
		return
	}
	name := c.extraRoutes[0]
	c.extraRoutes = c.extraRoutes[1:]
	c.write(f)
	c.removedPrefixes["/"+name+"/"] = time.Now()
}

// choose picks a key and the path prefix of a route. An active key is three times as likely
// as a revoked one. For paths with "nested-", the backend server makes an internal call.
func (c *operatorConfig) choose(pick func(n int) int) (key, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]string, 0, len(c.activeKeys)+len(c.revokedKeys))
	for k := range c.activeKeys {
		keys = append(keys, k, k, k)
	}
	for k := range c.revokedKeys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	prefixes := []string{"/view/desk/", "/view/mill/", "/order/desk/", "/order/mill/", "/view/desk/nested-"}
	for _, e := range c.extraRoutes {
		prefixes = append(prefixes, "/"+e+"/")
	}
	for p := range c.removedPrefixes {
		prefixes = append(prefixes, p)
	}
	slices.Sort(prefixes)
	return keys[pick(len(keys))], prefixes[pick(len(prefixes))]
}
