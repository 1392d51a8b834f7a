package processtest

import (
	"net/http"
	"sync"
	"testing"

	"github.com/teaselseam/teaselseam/internal/request"
)

// runsEverywhere sums the runs of an ID over all backend servers.
func (f *fleet) runsEverywhere(id string) int {
	total := 0
	for _, v := range f.vms {
		total += f.runs(v, id)
	}
	return total
}

// TestDuplicatesRunOnce guards against a request that may not be repeated and
// runs twice when its caller sends it through all nodes at the same moment, and
// again later (G9). It also checks that "not run" is true (G8).
func TestDuplicatesRunOnce(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	f.awaitOrders(key)
	const requests, copies = 40, 2
	for range requests {
		id := string(request.NewID())
		answers := f.sendCopies(id, key, copies)
		answers = append(answers, f.sendCopies(id, key, 1)...)
		f.checkOnce(id, answers)
	}
}

// TestDuplicatesAcrossNodeDeath guards against a second run after the node that
// took the first sending was killed.
func TestDuplicatesAcrossNodeDeath(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	f.awaitOrders(key)
	const requests = 30
	var ids []string
	for range requests {
		id := string(request.NewID())
		ids = append(ids, id)
		_ = f.sendCopies(id, key, 1)
	}
	before := map[string]int{}
	for _, id := range ids {
		before[id] = f.runsEverywhere(id)
	}
	f.vms[1].node.kill()
	for _, id := range ids {
		for _, v := range []*vm{f.vms[0], f.vms[2]} {
			a, err := v.send("/order", key, "again", request.HeaderID, id)
			if err == nil && a.outcome == request.NotRun.String() && before[id] > 0 {
				t.Errorf("%s was run and is now refused as not run: %+v", id, a)
			}
		}
		if runs := f.runsEverywhere(id); runs > 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
}

// awaitOrders waits until the fleet runs requests that may not be repeated,
// which needs a committed ring.
func (f *fleet) awaitOrders(key string) {
	f.t.Helper()
	for _, v := range f.vms {
		f.eventually("orders through "+v.name, func() bool {
			a, err := v.send("/order", key, "warm up")
			return err == nil && a.status == http.StatusOK
		})
	}
}

// sendCopies sends the same request through every node at the same moment.
func (f *fleet) sendCopies(id, key string, copies int) []answer {
	var wg sync.WaitGroup
	answers := make([]answer, len(f.vms)*copies)
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := f.vms[i%len(f.vms)].send("/order", key, "order", request.HeaderID, id)
			if err != nil {
				f.t.Errorf("send %s: %v", id, err)
			}
			answers[i] = a
		}()
	}
	wg.Wait()
	return answers
}

func (f *fleet) checkOnce(id string, answers []answer) {
	f.t.Helper()
	runs, served := f.runsEverywhere(id), 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	if runs > 1 || served > 1 {
		f.t.Errorf("%s ran %d times and was answered %d times: %+v", id, runs, served, answers)
	}
}
