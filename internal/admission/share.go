package admission

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// creditSpan is how much unused share a workspace may save up, as time at
	// its full share. Arrivals come in bursts: without credit, workspaces at
	// 0.8 of their share lost 12 % of their calls to one that sent ten times
	// its rate.
	creditSpan = time.Second
	// debtSpan bounds how long a workspace pays for having been over its share.
	debtSpan = 250 * time.Millisecond
)

// tenant is the account of one workspace at this backend server.
type tenant struct {
	name    string
	weight  float64
	running int
	queued  int
	flows   [request.NumImportance]flow

	credit   float64 // unused share in call seconds; negative if overdrawn
	creditAt time.Time
}

// inSystem counts the calls that run or wait.
func (t *tenant) inSystem() int { return t.running + t.queued }

// shares divides the concurrency limit among the workspaces that have a call
// in the system, by weight.
type shares struct {
	now       time.Time
	perWeight float64 // slots
	// ignoreCredit counts a workspace as over its share in spite of credit.
	ignoreCredit bool
}

func (s shares) slots(t *tenant) float64 { return s.perWeight * t.weight }

// credit returns the credit at present. A workspace saves the part of its share
// that it does not use. Waiting calls count as use: in an overload all slots
// are in use, and only the demand beyond them tells who causes it.
func (s shares) credit(t *tenant) float64 {
	slots := s.slots(t)
	elapsed := max(0, s.now.Sub(t.creditAt).Seconds())
	credit := t.credit + elapsed*(slots-float64(t.inSystem()))
	return min(max(credit, -slots*debtSpan.Seconds()), slots*creditSpan.Seconds())
}

// settle brings the account up to date. It precedes each change of inSystem.
func (s shares) settle(t *tenant) {
	t.credit = s.credit(t)
	t.creditAt = s.now
}

// covers tells whether one more call is within the workspace's share.
func (s shares) covers(t *tenant) bool {
	return float64(t.inSystem()) < s.slots(t) || s.credit(t) > 0
}

// due tells whether the workspace may take a slot before others that are not.
func (s shares) due(t *tenant) bool {
	return float64(t.running) < s.slots(t) || s.credit(t) > 0
}

// exceeds tells whether the workspace uses more than the given factor of its
// share, at least all of it, and has no credit left.
func (s shares) exceeds(t *tenant, factor float64) bool {
	if float64(t.inSystem()) <= max(factor, 1)*s.slots(t) {
		return false
	}
	return s.ignoreCredit || s.credit(t) <= 0
}

// newTenant starts with all the credit it can have.
func newTenant(name string, weight float64, now time.Time) *tenant {
	t := &tenant{name: name, weight: weight, credit: math.Inf(1), creditAt: now}
	for i := range t.flows {
		t.flows[i].tenant = t
	}
	return t
}
