package sidecar

import (
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/retry"
)

// retryBudgets bounds the retries to each service. It is safe for concurrent use.
type retryBudgets struct {
	mu       sync.Mutex
	accounts map[string]*retry.Account
}

// account returns the account of a service with the bounds in force. The caller holds mu.
func (b *retryBudgets) account(n *Node, service string, now time.Time) *retry.Account {
	if b.accounts == nil {
		b.accounts = map[string]*retry.Account{}
	}
	bounds := n.retryBounds(service)
	a := b.accounts[service]
	if a == nil {
		a = retry.NewAccount(now, bounds)
		b.accounts[service] = a
	}
	a.SetBounds(now, bounds)
	return a
}

// retryBounds returns the bounds on the retries to a service.
func (n *Node) retryBounds(service string) retry.Bounds {
	bounds := n.bounds.Load()
	b := retry.Bounds{
		Ratio: bounds.RetryRatio, Cap: n.state.catalog.Load().Service(service).RetryRatio,
		Nodes: max(len(*n.state.members.Load()), 1), Window: bounds.RetryWindow,
	}
	if n.state.isCounted() { // the ratio is of this node's own calls
		b.Extra = bounds.RetryExtra
	}
	return b
}

func (b *retryBudgets) countFirstAttempt(n *Node, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.account(n, service, now).RecordFirst(now)
}

// take uses a retry to a service and returns false if none is left. afterRun is set if a
// backend server has run the call or may have run it.
func (b *retryBudgets) take(n *Node, service string, afterRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.account(n, service, now).Take(now, afterRun)
}
