// Package share keeps a workspace within its rate and burst over all nodes.
//
// # Mechanism
//
// Each of N nodes owns an N-th of every workspace's rate and holds tokens for it
// in an Account. Callers are spread unevenly, so a node has tokens left over for
// one workspace and too few for another. What does not fit into the account goes
// to a Bank at one of the nodes, and a node that is short draws from there.
//
// # Why the bound holds
//
// Tokens are only created by the refill of accounts, which together make the
// rate, and only move after that: a deposit leaves the account before it is sent,
// and a draw leaves the bank before it is answered. A message that is lost loses
// its tokens; none is sent twice. The bound therefore holds whatever nodes are
// cut off, restarted or disagree on who keeps the bank, without any agreement
// between them. A node that reaches no bank still has its own part.
//
// In a window of length w the fleet passes at most rate x w plus the tokens that
// are stored at its start. The capacities (capacityOf, bankCapacity, overflow)
// keep the stored tokens of a workspace below burst + 0.3 s of its rate + 10.
//
// # Load pattern
//
// One workspace sends many times its rate through few nodes while others stay
// below theirs; a node that has no tokens refuses at once and asks the bank for
// more only as often as the bank can have new ones (dryPause).
package share

import (
	"math"
	"time"
)

const (
	// overflowSpan is the time whose refill an account collects for the bank. It
	// exceeds the interval of exchanges.
	overflowSpan = 300 * time.Millisecond
	// accountSlack is the number of tokens that all accounts together may hold
	// beyond their half of the burst. Half of the slack that users allow.
	accountSlack = 10
	// drawAhead is the time whose demand a draw covers.
	drawAhead = 300 * time.Millisecond
	// demandSpan is the time over which demand is averaged.
	demandSpan = time.Second
	// dryPause is how long an account does not draw after the bank was empty.
	dryPause = 100 * time.Millisecond
	// fullPause is how long an account hands nothing over after the bank was full.
	// Without it each node sends a message four times a second while nothing happens.
	// A pause of a second starved the bank when demand rose meanwhile.
	fullPause = 400 * time.Millisecond
	// fullPart of its capacity makes the bank call itself full.
	fullPart = 0.9
)

// Limit is a workspace's rate and burst over all nodes.
type Limit struct {
	Workspace string
	Rate      float64 // tokens a second; zero means no limit
	Burst     float64 // tokens
}

// Transfer is one workspace's part of a message to the bank.
type Transfer struct {
	Workspace string  `json:"w"`
	Deposit   float64 `json:"d,omitempty"` // tokens handed to the bank
	Draw      float64 `json:"n,omitempty"` // tokens asked for
}

// Grant is one workspace's part of the bank's answer.
type Grant struct {
	Workspace string  `json:"w"`
	Tokens    float64 `json:"t,omitempty"`
	Full      bool    `json:"f,omitempty"` // the bank needs no deposits for now
}

// Buckets holds a node's tokens. It is not safe for concurrent use.
type Buckets struct {
	nodes    int
	accounts map[string]*account
}

type account struct {
	rate, capacity, overflowCap float64 // of this node
	tokens, overflow            float64
	at                          time.Time
	demand                      float64 // taken or wanted, per second
	demandAt                    time.Time
	wanted                      bool
	dryUntil                    time.Time
	fullUntil                   time.Time
}

// NewBuckets returns accounts that know no workspace.
func NewBuckets() *Buckets { return &Buckets{accounts: map[string]*account{}} }

// SetLimits takes the limits of all workspaces and the number of nodes that share
// them. Tokens that exceed a smaller capacity are dropped.
func (a *Buckets) SetLimits(now time.Time, limits []Limit, nodes int) {
	a.nodes = max(nodes, 1)
	kept := make(map[string]*account, len(limits))
	for _, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		ac := a.accounts[l.Workspace]
		if ac == nil {
			ac = &account{at: now, demandAt: now}
		}
		ac.refill(now)
		n := float64(a.nodes)
		ac.rate = l.Rate / n
		ac.capacity, _ = capacities(l, a.nodes)
		ac.overflowCap = ac.rate * overflowSpan.Seconds()
		ac.tokens = min(ac.tokens, max(ac.capacity, 1))
		ac.overflow = min(ac.overflow, ac.overflowCap)
		kept[l.Workspace] = ac
	}
	a.accounts = kept
}

// capacities returns what the account of each node and the bank may hold. Where the
// part of a node is below one token, which serves nobody, the bank holds it all.
func capacities(l Limit, nodes int) (account, bank float64) {
	account = (l.Burst/2 + accountSlack) / float64(nodes)
	if account < 1 {
		return 0, l.Burst + accountSlack
	}
	return account, l.Burst / 2
}

// Take takes a token for a request. A workspace without a limit needs none.
func (a *Buckets) Take(now time.Time, workspace string) bool {
	ac := a.accounts[workspace]
	if ac == nil {
		return true
	}
	ac.refill(now)
	ac.note(now)
	return ac.take()
}

// TakeAfterExchange is Take for a request that was counted as demand before.
func (a *Buckets) TakeAfterExchange(now time.Time, workspace string) bool {
	ac := a.accounts[workspace]
	if ac == nil {
		return true
	}
	ac.refill(now)
	return ac.take()
}

func (ac *account) take() bool {
	if ac.tokens < 1 {
		// What waits for the bank is as good as a token from it.
		move := min(ac.overflow, 1-ac.tokens)
		ac.tokens += move
		ac.overflow -= move
	}
	if ac.tokens < 1 {
		ac.wanted = true
		return false
	}
	ac.tokens--
	return true
}

// Refund gives back the token of a request that has not run.
func (a *Buckets) Refund(now time.Time, workspace string) {
	if ac := a.accounts[workspace]; ac != nil {
		ac.refill(now)
		ac.add(1)
	}
}

// CanDraw tells whether asking the bank may yield a token for the workspace.
func (a *Buckets) CanDraw(now time.Time, workspace string) bool {
	ac := a.accounts[workspace]
	return ac != nil && !now.Before(ac.dryUntil)
}

// PrepareExchange returns the next message to the bank: tokens to hand over, which leave
// the accounts at once, and tokens wanted. It is empty if there is nothing to say.
func (a *Buckets) PrepareExchange(now time.Time) []Transfer {
	var out []Transfer
	for name, ac := range a.accounts {
		ac.refill(now)
		t := Transfer{Workspace: name}
		if ac.wanted && !now.Before(ac.dryUntil) {
			t.Draw = max(1, math.Ceil(ac.demandNow(now)*drawAhead.Seconds())) - max(ac.tokens, 0)
			ac.wanted = false
		} else if ac.overflow >= ac.overflowCap/3 && ac.overflow > 0 && !now.Before(ac.fullUntil) {
			t.Deposit, ac.overflow = ac.overflow, 0
		}
		if t.Deposit > 0 || t.Draw > 0 {
			out = append(out, t)
		}
	}
	return out
}

// ApplyGrants takes the bank's answer to a message.
func (a *Buckets) ApplyGrants(now time.Time, sent []Transfer, grants []Grant) {
	got := make(map[string]float64, len(grants))
	for _, g := range grants {
		got[g.Workspace] = g.Tokens
		if ac := a.accounts[g.Workspace]; ac != nil && g.Full {
			ac.fullUntil = now.Add(fullPause)
		}
	}
	for _, t := range sent {
		ac := a.accounts[t.Workspace]
		if ac == nil || t.Draw <= 0 {
			continue
		}
		ac.refill(now)
		tokens := min(max(got[t.Workspace], 0), t.Draw)
		ac.tokens += tokens
		if tokens < t.Draw/2 {
			ac.dryUntil = now.Add(dryPause)
		}
	}
}

// ExchangeFailed takes the loss of a message or its answer. What was handed over is gone.
func (a *Buckets) ExchangeFailed(now time.Time, sent []Transfer) {
	for _, t := range sent {
		if ac := a.accounts[t.Workspace]; ac != nil && t.Draw > 0 {
			ac.dryUntil = now.Add(dryPause)
		}
	}
}

// Tokens returns what the account of a workspace holds, for metrics and tests.
func (a *Buckets) Tokens(workspace string) float64 {
	if ac := a.accounts[workspace]; ac != nil {
		return ac.tokens + ac.overflow
	}
	return 0
}

func (ac *account) refill(now time.Time) {
	elapsed := now.Sub(ac.at).Seconds()
	if elapsed <= 0 {
		return
	}
	ac.at = now
	ac.add(ac.rate * elapsed)
}

// add fills the account up to its capacity and collects the rest for the bank.
func (ac *account) add(tokens float64) {
	room := max(ac.capacity-ac.tokens, 0)
	in := min(tokens, room)
	ac.tokens += in
	ac.overflow = min(ac.overflow+tokens-in, ac.overflowCap)
}

func (ac *account) note(now time.Time) {
	ac.demand = ac.demandNow(now) + 1/demandSpan.Seconds()
	ac.demandAt = now
}

func (ac *account) demandNow(now time.Time) float64 {
	return ac.demand * math.Exp(-max(now.Sub(ac.demandAt).Seconds(), 0)/demandSpan.Seconds())
}

// Bank holds the tokens that nodes have handed over. It is not safe for
// concurrent use.
type Bank struct {
	capacity map[string]float64
	tokens   map[string]float64
}

// NewBank returns an empty bank.
func NewBank() *Bank { return &Bank{capacity: map[string]float64{}, tokens: map[string]float64{}} }

// SetLimits takes the limits of all workspaces and the number of nodes that share them.
func (b *Bank) SetLimits(limits []Limit, nodes int) {
	clear(b.capacity)
	for _, l := range limits {
		if l.Rate > 0 {
			_, b.capacity[l.Workspace] = capacities(l, max(nodes, 1))
		}
	}
	for name := range b.tokens {
		b.tokens[name] = min(b.tokens[name], b.capacity[name])
	}
}

// Handle takes a node's message and returns the answer. Deposits are taken
// first.
func (b *Bank) Handle(ts []Transfer) []Grant {
	var out []Grant
	for _, t := range ts {
		if t.Deposit <= 0 {
			continue
		}
		capacity := b.capacity[t.Workspace]
		b.tokens[t.Workspace] = min(b.tokens[t.Workspace]+t.Deposit, capacity)
		if b.tokens[t.Workspace] >= fullPart*capacity {
			out = append(out, Grant{Workspace: t.Workspace, Full: true})
		}
	}
	for _, t := range ts {
		if t.Draw <= 0 {
			continue
		}
		// The node has a part of a token and asks for what makes it whole. A smaller
		// grant is whole as well: parts of tokens at many nodes serve nobody.
		give := t.Draw - math.Ceil(max(t.Draw-b.tokens[t.Workspace], 0))
		if give <= 0 {
			continue
		}
		b.tokens[t.Workspace] -= give
		out = append(out, Grant{Workspace: t.Workspace, Tokens: give})
	}
	return out
}
