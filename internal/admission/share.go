package admission

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// maxCreditTime bounds the credit of a workspace, as time at its full share.
	// Requests come in bursts: without credit, workspaces that used 0.8 of their share
	// lost 12 % of their requests beside one that sent ten times its normal rate.
	maxCreditTime = time.Second
	// maxDebtTime bounds negative credit in the same unit, and so the time for which an
	// earlier excess counts against a workspace.
	maxDebtTime = 250 * time.Millisecond
)

// workspaceState holds the requests of one workspace at this backend server, and its
// credit.
type workspaceState struct {
	name    string
	weight  float64
	running int
	queued  int
	flows   [request.NumImportance]flow

	credit          float64 // unused share, in request seconds; negative after use above the share
	creditUpdatedAt time.Time
}

// inSystem returns the number of requests that run or wait.
func (ws *workspaceState) inSystem() int { return ws.running + ws.queued }

// shares is the division of the concurrency limit, by weight, among the workspaces that
// have a request running or waiting.
type shares struct {
	now            time.Time
	slotsPerWeight float64 // part of the limit for a weight of 1
	// ignoreCredit makes a workspace that exceeds its share count as over it even if it
	// has credit left.
	ignoreCredit bool
}

// slots returns the part of the limit that is the workspace's share.
func (s shares) slots(ws *workspaceState) float64 { return s.slotsPerWeight * ws.weight }

// credit returns the current credit of a workspace. It grows by the part of the share that
// the workspace does not use. Waiting requests count as use: in an overload all slots are
// in use, and only the demand beyond them shows which workspace causes it.
func (s shares) credit(ws *workspaceState) float64 {
	slots := s.slots(ws)
	elapsed := max(0, s.now.Sub(ws.creditUpdatedAt).Seconds())
	credit := ws.credit + elapsed*(slots-float64(ws.inSystem()))
	return min(max(credit, -slots*maxDebtTime.Seconds()), slots*maxCreditTime.Seconds())
}

// updateCredit stores the current credit. It must be called before each change of inSystem.
func (s shares) updateCredit(ws *workspaceState) {
	ws.credit = s.credit(ws)
	ws.creditUpdatedAt = s.now
}

// withinShare tells whether one more request is covered by the workspace's share or
// credit.
func (s shares) withinShare(ws *workspaceState) bool {
	return float64(ws.inSystem()) < s.slots(ws) || s.credit(ws) > 0
}

// hasPriority tells whether the workspace gets a free slot before those without priority.
func (s shares) hasPriority(ws *workspaceState) bool {
	return float64(ws.running) < s.slots(ws) || s.credit(ws) > 0
}

// exceeds tells whether the workspace uses more than its share times factor (or 1 if
// factor is less) and has no credit left.
func (s shares) exceeds(ws *workspaceState, factor float64) bool {
	if float64(ws.inSystem()) <= max(factor, 1)*s.slots(ws) {
		return false
	}
	return s.ignoreCredit || s.credit(ws) <= 0
}

// newWorkspaceState returns the state of a workspace with the highest possible credit.
func newWorkspaceState(name string, weight float64, now time.Time) *workspaceState {
	ws := &workspaceState{name: name, weight: weight, credit: math.Inf(1), creditUpdatedAt: now}
	for i := range ws.flows {
		ws.flows[i].workspace = ws
	}
	return ws
}
