package configcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
	"github.com/teaselseam/teaselseam/platform"
)

// checkNames finds names that two entries of a kind have.
func (k *checker) checkNames() {
	seen := map[string]entry{}
	visit := func(e entry) {
		first, ok := seen[string(e.kind)+" "+e.name]
		if !ok {
			seen[string(e.kind)+" "+e.name] = e
			return
		}
		if e.name != "" {
			k.add(Error, e, "", fmt.Sprintf("name occurs twice: rows %d and %d", first.index+1, e.index+1), "rename or remove one of the two")
		}
	}
	k.eachRoute(func(e entry, _ platform.Route) { visit(e) })
	k.eachService(func(e entry, _ platform.Service) { visit(e) })
	k.eachWorkspace(func(e entry, _ platform.Workspace) { visit(e) })
}

func (k *checker) checkRoutes() {
	services := map[string]bool{}
	k.eachService(func(_ entry, s platform.Service) { services[s.Name] = true })
	first := map[string]entry{}
	k.eachRoute(func(e entry, r platform.Route) {
		k.checkMatch(e, r, first)
		k.checkWeights(e, r, services)
		k.checkTimes(e, r)
		k.checkCallers(e, r)
	})
}

// checkMatch finds routes that no request can match. first holds the first route of each
// host and prefix.
func (k *checker) checkMatch(e entry, r platform.Route, first map[string]entry) {
	if r.Host == "" || r.Prefix == "" {
		return // cannot be decoded
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		k.add(Error, e, "path", fmt.Sprintf("prefix %q does not begin with a slash, so no request matches", r.Prefix), "begin the prefix with /")
	} else if !strings.HasSuffix(r.Prefix, "/") {
		k.add(Warning, e, "path", fmt.Sprintf("prefix %q does not end with a slash, so it matches longer names as well", r.Prefix), "end the prefix with /")
	}
	if i := strings.LastIndexByte(r.Host, ':'); i > strings.LastIndexByte(r.Host, ']') {
		k.add(Warning, e, "host", fmt.Sprintf("host %q has a port, which is removed from the host of requests, so none matches", r.Host), "write the host without the port")
	}
	key := strings.ToLower(r.Host) + " " + r.Prefix
	if other, ok := first[key]; ok {
		k.add(Warning, e, "path", fmt.Sprintf("never matches: %s has the same host and prefix and comes first", other), "remove one of the two, or give it another host or prefix")
		return
	}
	first[key] = e
}

// checkWeights finds services that the configuration lacks, and weights by which a route
// cannot choose.
func (k *checker) checkWeights(e entry, r platform.Route, services map[string]bool) {
	total, negative := 0.0, false
	for _, s := range r.Services {
		if !services[s.Service] {
			k.add(Error, e, "service", fmt.Sprintf("service %q is not configured", s.Service), "add the service, or correct its name in the route")
		}
		total += s.Weight
		negative = negative || s.Weight < 0
		if len(r.Services) > 1 && s.Weight == 0 {
			k.add(Warning, e, "", fmt.Sprintf("service %q has weight 0 and gets no request", s.Service), "remove it from the route, or set a weight")
		}
	}
	switch {
	case negative:
		k.add(Error, e, "", "negative weight", "set weights of 0 or more")
	case total == 0 && len(r.Services) > 0:
		k.add(Error, e, "", "weights add up to 0", "set at least one weight above 0")
	}
}

func (k *checker) checkTimes(e entry, r platform.Route) {
	if r.Timeout < 0 || r.TargetLatency < 0 || r.Priority < 0 {
		k.add(Error, e, "", "negative time or priority", "set values of 0 or more; 0 is the highest priority, and as a timeout no limit")
	}
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		k.add(Warning, e, "aim", fmt.Sprintf("latency target %s is above the timeout %s: no response can come late, only fail", r.TargetLatency, r.Timeout),
			"lower the target, or raise the timeout")
	}
	if r.MaxAttempts > 1 && !r.Idempotent {
		k.add(Note, e, "retry_budget", fmt.Sprintf("%d attempts on a route whose requests may run only once: a further backend server gets a request only if none before ran it", r.MaxAttempts),
			"nothing to do, or declare the route idempotent if its requests may run again")
	}
}

// checkCallers finds routes that refuse all callers.
func (k *checker) checkCallers(e entry, r platform.Route) {
	var allowed map[string]bool
	if k.compiled != nil {
		for _, x := range k.compiled.Routes() {
			if x.Name == r.Name {
				allowed = x.Workspaces
			}
		}
	}
	needsKey := k.Workspaces != nil && !r.Public
	if !needsKey && allowed != nil {
		k.add(Warning, e, "workspaces", "needs no key, but the tree allows it to some workspaces only, so requests without a key are refused",
			"open the route to all workspaces in the tree, or let it need a key")
	}
	if needsKey && !k.KeysSeparate && !k.anyKey() {
		k.add(Warning, e, "", "needs a key, but no workspace has one, so all requests are refused", "add a key to a workspace")
	}
}

func (k *checker) anyKey() bool {
	for _, w := range k.Workspaces {
		if len(w.Keys) > 0 {
			return true
		}
	}
	return false
}

func (k *checker) checkServices() {
	named := map[string]bool{}
	k.eachRoute(func(_ entry, r platform.Route) {
		for _, s := range r.Services {
			named[s.Service] = true
		}
	})
	k.eachService(func(e entry, s platform.Service) {
		if !named[s.Name] {
			k.add(Warning, e, "", "no route names it, so it gets no request", "add a route, or remove the service")
		}
		if s.MaxConns < 0 {
			k.add(Error, e, "max_connections", "negative number of connections", "set the number that a backend server accepts")
		}
		if s.ColdRate > 0 && s.ColdTime == 0 {
			k.add(Warning, e, "", "rate of cold backend servers without a time for which they are cold: it applies only to those that say that they are cold", "set the time as well, or remove the rate")
		}
		if s.ColdTime > 0 && s.ColdRate == 0 {
			k.add(Warning, e, "", "time for which backend servers are cold without a rate that they bear: it has no effect", "set the rate as well, or remove the time")
		}
	})
}

func (k *checker) checkWorkspaces() {
	holder := map[workspace.Digest]entry{}
	keysAsked := len(k.Routes) == 0
	k.eachRoute(func(_ entry, r platform.Route) { keysAsked = keysAsked || !r.Public })
	k.eachWorkspace(func(e entry, w platform.Workspace) {
		for _, key := range w.Keys {
			d := workspace.DigestOf(key)
			other, held := holder[d]
			if held && other.name != w.Name {
				k.add(Error, e, "", fmt.Sprintf("key %.8s is held by workspace %s as well", d, other.name), "remove the key from one of the two")
			}
			if held && other.name == w.Name {
				k.add(Warning, e, "", fmt.Sprintf("key %.8s occurs twice", d), "remove one of the two")
			}
			holder[d] = e
			if key == "" {
				k.add(Error, e, "", "empty key, which no request can present", "remove it, or set the key")
			}
		}
		k.checkQuota(e, w, keysAsked)
	})
	k.checkPriorities()
}

func (k *checker) checkQuota(e entry, w platform.Workspace, keysAsked bool) {
	switch {
	case w.Rate < 0 || w.Burst < 0 || w.Priority != nil && *w.Priority < 0:
		k.add(Error, e, "rate", "negative rate, burst or priority", "set values of 0 or more; a rate of 0 means no limit")
	case w.Rate == 0 && w.Burst > 0:
		k.add(Warning, e, "rate", fmt.Sprintf("burst %g without a rate has no effect: a rate of 0 means no limit", w.Burst), "set a rate, or remove the burst")
	}
	if !keysAsked && (w.Rate > 0 || w.Priority != nil) {
		k.add(Warning, e, "", "no route needs a key, so its rate and priority never apply", "let a route need a key, or remove the workspace")
	}
	if len(w.Keys) == 0 && !k.KeysSeparate {
		k.add(Warning, e, "", "has no key, so no request can be from it", "add a key, or remove the workspace")
	}
}

// checkPriorities finds priorities of workspaces that order nothing.
func (k *checker) checkPriorities() {
	if len(k.Workspaces) < 2 || k.Workspaces[0].Priority == nil {
		return
	}
	for _, w := range k.Workspaces {
		if w.Priority == nil || *w.Priority != *k.Workspaces[0].Priority {
			return
		}
	}
	k.add(Warning, entry{settings.KindWorkspace, 0, k.Workspaces[0].Name}, "",
		"all workspaces have the same priority, so it orders nothing and that of the routes decides", "set different priorities, or none")
}

// checkTree finds branches of the settings tree that apply to nothing.
func (k *checker) checkTree() {
	if k.Tree == nil {
		return
	}
	present := map[settings.Branch]bool{}
	add := func(e entry) {
		for b, ok := (settings.Branch{Kind: e.kind, Name: e.name}), true; ok; b, ok = b.Parent() {
			present[b] = true // branches that others inherit from are in use
		}
	}
	k.eachRoute(func(e entry, _ platform.Route) { add(e) })
	k.eachService(func(e entry, _ platform.Service) { add(e) })
	k.eachWorkspace(func(e entry, _ platform.Workspace) { add(e) })
	for _, b := range k.Tree.SortedBranches() {
		e := entry{b.Kind, -1, b.Name}
		if b != settings.Defaults && !present[b] {
			k.addAt(k.TreeOrigin, Warning, e, "", fmt.Sprintf("the tree has a branch for it, but there is no such %s", b.Kind), "remove the branch, or correct its name")
		}
	}
	k.checkAllowedWorkspaces(present)
	k.checkQueueTimes()
}

func (k *checker) checkAllowedWorkspaces(present map[settings.Branch]bool) {
	if k.KeysUnknown {
		return // a workspace without a branch may have keys
	}
	for _, r := range k.compiled.Routes() {
		for name := range r.Workspaces {
			if !present[settings.Branch{Kind: settings.KindWorkspace, Name: name}] {
				k.addAt(k.TreeOrigin, Warning, entry{settings.KindRoute, -1, r.Name}, "workspaces",
					fmt.Sprintf("allows workspace %q, which does not exist", name), "issue a key to the workspace, or correct its name")
			}
		}
	}
}

// checkQueueTimes finds queue times that an operator has set and that cannot be reached,
// because all requests of the service time out before.
func (k *checker) checkQueueTimes() {
	longest := map[string]time.Duration{}
	k.eachRoute(func(_ entry, r platform.Route) {
		for _, s := range r.Services {
			timeout := r.Timeout
			if timeout <= 0 {
				timeout = 1<<63 - 1
			}
			longest[s.Service] = max(longest[s.Service], timeout)
		}
	})
	k.eachService(func(e entry, s platform.Service) {
		const key = "queue_time"
		_, origin := k.Tree.Lookup(settings.Branch{Kind: settings.KindService, Name: s.Name}, key)
		queue, timeout := k.compiled.Service(s.Name).QueueTime, longest[s.Name]
		if origin == (settings.Branch{}) || timeout == 0 || queue <= timeout {
			return
		}
		k.addAt(k.TreeOrigin, Warning, entry{origin.Kind, -1, origin.Name}, key,
			fmt.Sprintf("queue time %s of %s is longer than all timeouts of its routes (at most %s), so it has no effect", queue, e, timeout),
			"lower the queue time, or raise a timeout")
	})
}
