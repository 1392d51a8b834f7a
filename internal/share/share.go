// Package share limits each workspace to its rate and burst across all nodes.
//
// # Mechanism
//
// Each of N nodes has a token bucket for every workspace, which is refilled at 1/N
// of the workspace's rate. Callers are spread unevenly over the nodes, so a node
// may have surplus tokens for one workspace and too few for another. Tokens that
// exceed the capacity of a bucket are deposited in a Bank, a shared pool held by
// one of the nodes, and a node that runs short draws tokens from it.
//
// # Why the limit holds
//
// Tokens are created only by refilling the buckets, whose rates add up to the rate
// of the workspace. After that they only move: a deposit leaves the bucket before
// the message is sent, and a draw leaves the bank before the answer is sent. The
// tokens in a lost message are lost, and no message is sent twice. The limit
// therefore holds without any agreement between the nodes, whichever nodes are
// unreachable, restart or disagree on which node holds the bank. A node that cannot
// reach a bank still has its own 1/N of the rate.
//
// A part of the rate has one holder. A node that joins has none until the others count
// it: each of them would go on with its 1/N, and the parts add up to more than the rate.
// Until then it lives on what it draws. In calm that is what the others leave over. The
// part of a node that has left stays unused until it comes back. It starts with its part
// of the stored tokens then (Fill), which its earlier process may have spent: that is the
// one place where tokens are made beside the refill.
// A bank that is not the one that others use hands its tokens on (Release), or several
// would each hold what one may.
//
// A draw may exceed the capacity of a bucket, since it covers the demand of drawHorizon.
// What is left of it then goes back to the bank. Otherwise nodes with short peaks would
// each keep a part of the burst, which the bank collects again.
//
// In a window of length w all nodes together admit at most rate x w plus the tokens
// that are stored at its start. The capacities (see capacities and overflowWindow)
// keep the stored tokens of a workspace below burst + 0.3 s of its rate + 10.
//
// # Load pattern
//
// The design assumes that one workspace sends many times its rate through few nodes
// while the others stay below their rates. A node without tokens refuses at once,
// and asks the bank again only as often as the bank can have received new tokens
// (emptyBankBackoff).
//
// # Order
//
// A workspace beyond its rate asks for tokens with requests of all importance. If they
// went to whoever comes first, its orders would be refused as often as its look-ups.
// So requests leave a reserve in the bucket for the more important ones of the same
// workspace: what these asked for lately, for as long as it takes until the bank can
// bring more. The bank keeps such a reserve too, since in a large fleet it holds nearly
// all tokens. What the reserve leaves over goes to the others, and they may take from it
// while a request of theirs gets a token less than a quarter as often as a more important
// one. The order moves no tokens between nodes by itself, so the limit holds as before.
package share

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// overflowWindow bounds the tokens that a bucket collects for its next deposit:
	// at most its refill over this time. It exceeds the interval between exchanges.
	overflowWindow = 300 * time.Millisecond
	// bucketSlack is the number of tokens that all buckets of a workspace together
	// may hold beyond half of the burst. It is half of the 20 requests that the
	// requirements allow beyond rate and burst.
	bucketSlack = 10
	// drawHorizon is how long the tokens of a draw last at the current demand.
	drawHorizon = 300 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = time.Second
	// emptyBankBackoff is how long a bucket does not draw after a draw that yielded
	// less than half of the requested tokens or failed.
	emptyBankBackoff = 100 * time.Millisecond
	// fullBankBackoff is how long a bucket makes no deposit after the bank reported
	// that it is full. Without it each idle node would send four messages a second.
	// With 1 s the bank ran empty when demand rose during the back-off.
	fullBankBackoff = 400 * time.Millisecond
	// fullThreshold is the fraction of the capacity from which the bank reports that
	// it is full.
	fullThreshold = 0.9
	// roundingError is the fraction of a token that may get lost in sums.
	roundingError = 1e-6
)

// Limit is the rate and burst of a workspace across all nodes.
type Limit struct {
	Workspace string
	Rate      float64 // tokens per second; zero means no limit
	Burst     float64 // tokens
}

// Transfer is the entry of one workspace in a message to the bank.
type Transfer struct {
	Workspace string  `json:"w"`
	Deposit   float64 `json:"d,omitempty"` // tokens added to the bank
	Draw      float64 `json:"n,omitempty"` // tokens requested from the bank
	// Levels tells how important the requests are for which tokens are drawn. What it lacks
	// of Draw is for the least important ones.
	Levels byImportance `json:"l,omitzero"`
}

// Grant is the entry of one workspace in the bank's answer.
type Grant struct {
	Workspace string  `json:"w"`
	Tokens    float64 `json:"t,omitempty"`
	Full      bool    `json:"f,omitempty"` // the bank is full; deposits should pause
}

// Buckets holds a node's token buckets, one per workspace. It is not safe for
// concurrent use.
type Buckets struct {
	byWorkspace map[string]*bucket
}

type bucket struct {
	rate, capacity, overflowCapacity float64 // this node's part of the limit
	part                             float64 // the same of what all buckets may hold, also if below one token
	// overflow holds the tokens beyond the capacity until they are deposited.
	tokens, overflow float64
	// unused holds drawn tokens beyond the capacity that were not used in time. They go
	// back to the bank.
	unused         float64
	drawnUntil     time.Time // end of the time for which drawn tokens may exceed the capacity
	drawn          float64   // tokens held after the last draw; zero after drawnUntil
	order          order
	refilledAt     time.Time
	demand         float64 // requests per second, admitted or not
	demandAt       time.Time
	lacking        byImportance // tokens that refused requests lacked since the last draw
	noDrawUntil    [request.NumImportance]time.Time
	noDepositUntil time.Time
}

// NewBuckets returns an empty set of buckets.
func NewBuckets() *Buckets { return &Buckets{byWorkspace: map[string]*bucket{}} }

// SetLimits replaces the limits of all workspaces and the number of nodes that share them,
// zero if this node is not counted among them and has no part. Tokens that exceed a reduced
// capacity are dropped.
func (bs *Buckets) SetLimits(now time.Time, limits []Limit, nodes int) {
	kept := make(map[string]*bucket, len(limits))
	for _, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		b := bs.byWorkspace[l.Workspace]
		if b == nil {
			b = &bucket{refilledAt: now, demandAt: now}
		}
		b.refill(now)
		b.rate, b.capacity, b.part = 0, 0, 0
		if nodes > 0 {
			b.part = (l.Burst/2 + bucketSlack) / float64(nodes)
			b.rate = l.Rate / float64(nodes)
			b.capacity, _ = capacities(l, nodes)
		}
		b.overflowCapacity = b.rate * overflowWindow.Seconds()
		b.tokens = min(b.tokens, max(b.capacity, 1))
		b.overflow = min(b.overflow, b.overflowCapacity)
		kept[l.Workspace] = b
	}
	bs.byWorkspace = kept
}

// Fill gives each bucket this node's part of what all buckets may hold. It is for a node that was
// counted all the time: the tokens of its earlier process are lost.
func (bs *Buckets) Fill() {
	for _, b := range bs.byWorkspace {
		b.tokens = max(b.tokens, b.part)
	}
}

// capacities returns the capacities of the bucket at each node and of the bank. A
// bucket of less than one token could not admit any request, so the bank holds all
// tokens in that case.
func capacities(l Limit, nodes int) (perNode, bank float64) {
	perNode = (l.Burst/2 + bucketSlack) / float64(nodes)
	if perNode < 1 {
		return 0, l.Burst + bucketSlack
	}
	return perNode, l.Burst / 2
}

// Take takes a token for a request, and reports whether the request is admitted.
// Requests of a workspace without a limit need no token.
func (bs *Buckets) Take(now time.Time, workspace string, imp request.Importance) bool {
	b := bs.byWorkspace[workspace]
	if b == nil {
		return true
	}
	b.refill(now)
	b.recordDemand(now)
	b.order.ask(now, level(imp), 1)
	return b.take(imp)
}

// TakeAfterExchange repeats Take for a request that has waited for an exchange with
// the bank. The request is not counted as demand again.
func (bs *Buckets) TakeAfterExchange(now time.Time, workspace string, imp request.Importance) bool {
	b := bs.byWorkspace[workspace]
	if b == nil {
		return true
	}
	b.refill(now)
	return b.take(imp)
}

func (b *bucket) take(imp request.Importance) bool {
	imp = level(imp)
	needed := 1.0
	if !b.order.belowFloor(imp) {
		needed += b.order.reserve(imp, drawHorizon, b.mostReserve())
	}
	// Tokens that are not deposited yet save a draw if they suffice. Otherwise they stay
	// where the bank gets them.
	if lacking := needed - b.tokens - b.overflow; lacking > roundingError {
		b.lacking[imp] = max(b.lacking[imp], lacking)
		return false
	}
	b.tokens--
	if b.tokens < 0 {
		b.overflow += b.tokens
		b.tokens = 0
	}
	b.order.pass(imp)
	return true
}

// mostReserve returns the largest reserve that leaves no token unused: one beyond the refill
// of its horizon would, and so would one beyond what the bucket holds while no bank is
// reachable. A bucket that holds less than a token by itself has just what it draws, and what
// that leaves goes back.
func (b *bucket) mostReserve() float64 {
	refill := b.rate * drawHorizon.Seconds()
	if held := b.capacity + b.overflowCapacity; held >= 1 {
		return min(refill, max(held, b.drawn)-1)
	}
	return refill
}

// Refund returns the token of a request that did not run.
func (bs *Buckets) Refund(now time.Time, workspace string) {
	if b := bs.byWorkspace[workspace]; b != nil {
		b.refill(now)
		if b.rate == 0 {
			b.unused++ // it was drawn, and goes back
			return
		}
		b.add(1)
	}
}

// CanDraw reports whether a draw from the bank is allowed now for requests of the workspace.
func (bs *Buckets) CanDraw(now time.Time, workspace string, imp request.Importance) bool {
	b := bs.byWorkspace[workspace]
	return b != nil && !now.Before(b.noDrawUntil[level(imp)])
}

// PrepareExchange returns the next message to the bank: deposits, whose tokens leave
// the buckets at once, and draws. It is empty if there is nothing to exchange.
func (bs *Buckets) PrepareExchange(now time.Time) []Transfer {
	var out []Transfer
	for name, b := range bs.byWorkspace {
		b.refill(now)
		t := Transfer{Workspace: name}
		if b.wantsDraw(now) {
			// The grant completes all that the bucket has to whole tokens.
			b.tokens, b.overflow = b.tokens+b.overflow, 0
			b.drawnUntil = now.Add(drawHorizon)
			t.Draw, t.Levels = b.draw(now)
			b.lacking = byImportance{}
		} else if b.overflow >= b.overflowCapacity/3 && b.overflow > 0 && !now.Before(b.noDepositUntil) {
			t.Deposit, b.overflow = b.overflow, 0
		}
		t.Deposit, b.unused = t.Deposit+b.unused, 0
		if t.Deposit > 0 || t.Draw > 0 {
			out = append(out, t)
		}
	}
	return out
}

// wantsDraw reports whether refused requests lack tokens that the bank may have.
func (b *bucket) wantsDraw(now time.Time) bool {
	for i, lacking := range b.lacking {
		if lacking > 0 && !now.Before(b.noDrawUntil[i]) {
			return true
		}
	}
	return false
}

// draw returns the tokens to request from the bank, in all and by importance: what all
// requests are expected to need for drawHorizon beyond the tokens that the bucket holds, at
// least what a refused one lacked. The important ones that were refused come first.
func (b *bucket) draw(now time.Time) (total float64, levels byImportance) {
	held, lacking := max(b.tokens, 0), 0.0
	for _, l := range b.lacking {
		lacking = max(lacking, l)
	}
	expected := b.currentDemand(now) * drawHorizon.Seconds()
	total = math.Ceil(max(expected, held+lacking)) - held
	rest := total
	for i := len(levels) - 1; i > 0; i-- {
		need := b.order.demand[i] * drawHorizon.Seconds()
		if b.lacking[i] > 0 {
			levels[i] = min(max(need-held, b.lacking[i]), rest)
			rest -= levels[i]
		}
		held = max(held-need, 0)
	}
	levels[0] = rest
	return total, levels
}

// ApplyGrants adds the tokens that the bank granted in answer to the message sent.
func (bs *Buckets) ApplyGrants(now time.Time, sent []Transfer, grants []Grant) {
	granted := make(map[string]float64, len(grants))
	for _, g := range grants {
		granted[g.Workspace] = g.Tokens
		if b := bs.byWorkspace[g.Workspace]; b != nil && g.Full {
			b.noDepositUntil = now.Add(fullBankBackoff)
		}
	}
	for _, t := range sent {
		b := bs.byWorkspace[t.Workspace]
		if b == nil || t.Draw <= 0 {
			continue
		}
		b.refill(now)
		tokens := min(max(granted[t.Workspace], 0), t.Draw)
		b.tokens += tokens
		b.drawnUntil, b.drawn = now.Add(drawHorizon), b.tokens
		b.pauseDraws(now, t, tokens)
	}
}

// ExchangeFailed handles the loss of a message or its answer. Deposited tokens are
// not restored, because the bank may have received them.
func (bs *Buckets) ExchangeFailed(now time.Time, sent []Transfer) {
	for _, t := range sent {
		if b := bs.byWorkspace[t.Workspace]; b != nil && t.Draw > 0 {
			for i := range b.noDrawUntil {
				b.noDrawUntil[i] = now.Add(emptyBankBackoff)
			}
		}
	}
}

// pauseDraws ends draws for a while for requests of the levels whose part of a draw the bank
// has granted by less than half. Grants are for the important ones first.
func (b *bucket) pauseDraws(now time.Time, t Transfer, granted float64) {
	for i := len(t.Levels) - 1; i >= 0; i-- {
		if drawn := t.Levels[i]; drawn > 0 && granted < drawn/2 {
			b.noDrawUntil[i] = now.Add(emptyBankBackoff)
		}
		granted = max(granted-t.Levels[i], 0)
	}
}

// Tokens returns the number of tokens that this node holds for a workspace. It is
// used for status output.
func (bs *Buckets) Tokens(workspace string) float64 {
	if b := bs.byWorkspace[workspace]; b != nil {
		return b.tokens + b.overflow
	}
	return 0
}

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if now.After(b.drawnUntil) {
		b.drawn = 0
		if excess := b.tokens - b.capacity; excess > 0 {
			b.tokens -= excess
			b.unused += excess
		}
	}
	b.add(b.rate * elapsed)
}

// add fills the bucket up to its capacity and collects the rest for the next deposit.
func (b *bucket) add(tokens float64) {
	room := max(b.capacity-b.tokens, 0)
	in := min(tokens, room)
	b.tokens += in
	b.overflow = min(b.overflow+tokens-in, b.overflowCapacity)
}

func (b *bucket) recordDemand(now time.Time) {
	b.demand = b.currentDemand(now) + 1/demandTimeConstant.Seconds()
	b.demandAt = now
}

func (b *bucket) currentDemand(now time.Time) float64 {
	return b.demand * math.Exp(-max(now.Sub(b.demandAt).Seconds(), 0)/demandTimeConstant.Seconds())
}

// Bank holds the tokens that nodes have deposited. It is not safe for concurrent
// use.
type Bank struct {
	rate     map[string]float64
	capacity map[string]float64
	tokens   map[string]float64
	orders   map[string]*order
}

// NewBank returns an empty bank.
func NewBank() *Bank {
	return &Bank{rate: map[string]float64{}, capacity: map[string]float64{}, tokens: map[string]float64{}, orders: map[string]*order{}}
}

// SetLimits replaces the limits of all workspaces and the number of nodes that share
// them. Tokens that exceed a reduced capacity are dropped.
func (b *Bank) SetLimits(limits []Limit, nodes int) {
	clear(b.rate)
	clear(b.capacity)
	for _, l := range limits {
		if l.Rate > 0 {
			b.rate[l.Workspace] = l.Rate
			_, b.capacity[l.Workspace] = capacities(l, max(nodes, 1))
		}
	}
	for name := range b.tokens {
		b.tokens[name] = min(b.tokens[name], b.capacity[name])
	}
	for name := range b.orders {
		if b.capacity[name] == 0 {
			delete(b.orders, name)
		}
	}
}

// Release takes all tokens out of the bank and returns them as deposits for another one.
func (b *Bank) Release() []Transfer {
	var out []Transfer
	for name, tokens := range b.tokens {
		if tokens > 0 {
			out = append(out, Transfer{Workspace: name, Deposit: tokens})
		}
	}
	clear(b.tokens)
	return out
}

// Empty reports whether the bank holds no tokens.
func (b *Bank) Empty() bool {
	for _, tokens := range b.tokens {
		if tokens > 0 {
			return false
		}
	}
	return true
}

// Handle processes a node's message and returns the answer. Deposits are processed
// before draws.
func (b *Bank) Handle(now time.Time, ts []Transfer) []Grant {
	var out []Grant
	for _, t := range ts {
		if t.Deposit <= 0 {
			continue
		}
		capacity := b.capacity[t.Workspace]
		b.tokens[t.Workspace] = min(b.tokens[t.Workspace]+t.Deposit, capacity)
		if b.tokens[t.Workspace] >= fullThreshold*capacity {
			out = append(out, Grant{Workspace: t.Workspace, Full: true})
		}
	}
	for _, t := range ts {
		if t.Draw <= 0 {
			continue
		}
		// The node requests the fraction that completes its own tokens to a whole
		// number. A smaller grant is short of the request by a whole number, so that
		// the node again holds a whole number: fractions of a token spread over many
		// nodes could not admit any request.
		grant := t.Draw - math.Ceil(max(t.Draw-b.available(now, t)-roundingError, 0))
		if grant <= 0 {
			continue
		}
		b.tokens[t.Workspace] -= grant
		out = append(out, Grant{Workspace: t.Workspace, Tokens: grant})
	}
	return out
}

// available returns how many tokens a draw may take: all for the most important requests of
// the workspace, and for the others what exceeds their reserve.
func (b *Bank) available(now time.Time, t Transfer) (total float64) {
	o := b.orders[t.Workspace]
	if o == nil {
		if b.capacity[t.Workspace] == 0 {
			return 0
		}
		o = &order{}
		b.orders[t.Workspace] = o
	}
	levels := t.levels()
	for i, n := range levels {
		o.ask(now, request.Importance(i), n)
	}
	for i := len(levels) - 1; i >= 0; i-- {
		left := b.tokens[t.Workspace] - total
		reserve := o.reserve(request.Importance(i), overflowWindow, min(b.rate[t.Workspace]*overflowWindow.Seconds(), b.capacity[t.Workspace]-1))
		total += min(levels[i], max(left-reserve, 0))
	}
	return total
}

// levels returns the tokens that are drawn for each importance. Their sum is Draw, whatever
// a peer has sent.
func (t *Transfer) levels() (levels byImportance) {
	rest := t.Draw
	for i := len(levels) - 1; i > 0; i-- {
		if n := t.Levels[i]; n > 0 { // false for NaN
			levels[i] = min(n, rest)
			rest -= levels[i]
		}
	}
	levels[0] = rest
	return levels
}
