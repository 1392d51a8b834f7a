package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/internal/share"
)

const (
	exchangePath = "/teaselseam/share"
	// exchangeEvery is how often tokens are handed over. It is below the time
	// whose refill an account collects.
	exchangeEvery = 250 * time.Millisecond
	// exchangeTimeout is a few round trips between data centres. A request that
	// waits for tokens waits no longer.
	exchangeTimeout = 150 * time.Millisecond
	// bankPause is how long a bank that did not answer is left out.
	bankPause = 2 * time.Second
	// maxExchange bounds a message in bytes; one workspace takes about 60.
	maxExchange = 1 << 20
	// bankPurpose is the name by which the keeper of the bank is chosen.
	bankPurpose = "share bank"
	// banks is how many members are asked in turn.
	banks = 3
)

// tokens keeps the node's tokens and exchanges them with the bank. It is safe for
// concurrent use.
type tokens struct {
	n    *Node
	log  *slog.Logger
	wake chan struct{}

	mu       sync.Mutex
	accounts *share.Buckets
	bank     *share.Bank
	waiters  []chan struct{}
	heardAt  time.Time // when the bank last answered, or the start
	heardOf  string    // the node that kept it then

	pausedUntil map[string]time.Time // banks that did not answer; owned by run
}

func newTokens(n *Node) *tokens {
	return &tokens{
		n: n, log: n.log, wake: make(chan struct{}, 1),
		accounts: share.NewBuckets(), bank: share.NewBank(), pausedUntil: map[string]time.Time{},
		heardAt: time.Now(),
	}
}

func (t *tokens) set(limits []share.Limit, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accounts.SetLimits(time.Now(), limits, nodes)
	t.bank.SetLimits(limits, nodes)
}

// take takes a token for a request, waiting for the bank if that may have some.
func (t *tokens) take(ctx context.Context, workspace string) bool {
	now := time.Now()
	t.mu.Lock()
	if t.accounts.Take(now, workspace) {
		t.mu.Unlock()
		return true
	}
	if !t.accounts.CanDraw(now, workspace) {
		t.mu.Unlock()
		return false
	}
	done := make(chan struct{})
	t.waiters = append(t.waiters, done)
	t.mu.Unlock()
	pace.Wake(t.wake)
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accounts.TakeAfterExchange(time.Now(), workspace)
}

func (t *tokens) refund(workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accounts.Refund(time.Now(), workspace)
}

// run exchanges tokens with the bank until ctx ends.
func (t *tokens) run(ctx context.Context) error {
	tick := time.NewTicker(exchangeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-t.wake:
		}
		t.exchange(ctx)
	}
}

func (t *tokens) exchange(ctx context.Context) {
	t.mu.Lock()
	sent := t.accounts.PrepareExchange(time.Now())
	waiters := t.waiters
	t.waiters = nil
	t.mu.Unlock()
	defer func() {
		for _, w := range waiters {
			close(w)
		}
	}()
	if len(sent) == 0 {
		return
	}
	grants, keeper, err := t.ask(ctx, sent)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.accounts.ExchangeFailed(time.Now(), sent)
		t.n.metrics.Counter("teaselseam_share_exchange_failures_total").Inc()
		return
	}
	t.heardAt, t.heardOf = time.Now(), keeper
	t.accounts.ApplyGrants(t.heardAt, sent, grants)
}

// ask sends the message to the first member in order that has answered lately, and
// returns that member's name.
func (t *tokens) ask(ctx context.Context, sent []share.Transfer) (grants []share.Grant, keeper string, err error) {
	now := time.Now()
	for i, m := range fleet.RendezvousOrder(t.n.knowledge.serving(), bankPurpose) {
		if i >= banks {
			break
		}
		if now.Before(t.pausedUntil[m.Node]) {
			continue
		}
		if m.Node == t.n.settings.Node {
			return t.handle(sent), m.Node, nil
		}
		grants, err = t.post(ctx, m.Address, sent)
		if err != nil {
			t.pausedUntil[m.Node] = now.Add(bankPause)
			t.log.Warn("bank of tokens did not answer", "event", "share", "peer", m.Node, "err", err)
			return nil, "", err
		}
		return grants, m.Node, nil
	}
	return nil, "", fmt.Errorf("no bank of tokens can be reached")
}

func (t *tokens) post(ctx context.Context, addr string, sent []share.Transfer) ([]share.Grant, error) {
	body, err := json.Marshal(sent)
	if err != nil {
		return nil, oops.With("step", "encode share message").Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	a, callErr := t.n.peers.Post(ctx, addr, exchangePath, body)
	if callErr != nil {
		return nil, oops.With("step", "share exchange", "peer", addr).Wrap(callErr)
	}
	if a.Status != http.StatusOK {
		return nil, oops.With("step", "share exchange", "peer", addr).Errorf("status %d", a.Status)
	}
	var grants []share.Grant
	if err := json.Unmarshal(a.Body, &grants); err != nil {
		return nil, oops.With("step", "share exchange", "peer", addr).Wrap(err)
	}
	return grants, nil
}

func (t *tokens) handle(sent []share.Transfer) []share.Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bank.Handle(sent)
}

// serve answers another node's message to the bank.
func (t *tokens) serve(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExchange))
	var sent []share.Transfer
	if err == nil {
		err = json.Unmarshal(data, &sent)
	}
	if err != nil {
		t.log.Warn("share message cannot be read", "event", "share", "peer", r.RemoteAddr, "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, err := json.Marshal(t.handle(sent))
	if err != nil {
		t.log.Error("share answer cannot be written", "event", "share", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	_, _ = w.Write(answer) // a lost answer loses its tokens, which keeps the bound
}

// bankNews is what a node last heard of the bank of tokens.
type bankNews struct {
	keeper string // node that kept it; empty if it never answered
	ago    time.Duration
}

// state returns the node's tokens of a workspace and its news of the bank.
func (t *tokens) state(workspace string) (float64, bankNews) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accounts.Tokens(workspace), bankNews{keeper: t.heardOf, ago: time.Since(t.heardAt)}
}
