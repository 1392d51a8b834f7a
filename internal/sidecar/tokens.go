package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/share"
)

const (
	bankPath = "/teaselseam/share"
	// bankExchangeInterval is the interval of exchanges with the token bank. A bucket has
	// room for the refill of a longer time.
	bankExchangeInterval = 250 * time.Millisecond
	// bankExchangeTimeout allows for a few round trips between data centres. It bounds how
	// long a request waits for tokens.
	bankExchangeTimeout = 150 * time.Millisecond
	// bankRetryPause is how long a candidate for the bank is skipped after a failed exchange.
	bankRetryPause = 2 * time.Second
	// maxBankMessageBytes bounds the size of a message; one workspace takes about 60 bytes.
	maxBankMessageBytes = 1 << 20
	// bankPurpose is the key of the rendezvous hash that selects the node that holds the
	// token bank.
	bankPurpose = "share bank"
	// maxBankCandidates is how many members may hold the bank, in order of preference.
	maxBankCandidates = 3
)

// tokens holds the node's token buckets of the workspaces and exchanges tokens with the
// token bank, which is at one of the nodes. It is safe for concurrent use.
type tokens struct {
	n    *Node
	log  *slog.Logger
	wake chan struct{}

	mu              sync.Mutex
	buckets         *share.Buckets
	bank            *share.Bank
	waiters         []chan struct{}
	bankRespondedAt time.Time // last response of the bank, or the start of the node
	bankNode        string    // node that sent that response; empty if there was none

	pausedUntil map[string]time.Time // by node, after failed exchanges; owned by run
}

func newTokens(n *Node) *tokens {
	return &tokens{
		n: n, log: n.log, wake: make(chan struct{}, 1),
		buckets: share.NewBuckets(), bank: share.NewBank(), pausedUntil: map[string]time.Time{},
		bankRespondedAt: time.Now(),
	}
}

// setLimits sets the limits of all workspaces for a number of nodes. counted tells whether this
// node is one of those for the others.
func (t *tokens) setLimits(limits []share.Limit, nodes int, counted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bank.SetLimits(limits, nodes)
	if !counted {
		nodes = 0
	}
	t.buckets.SetLimits(time.Now(), limits, nodes)
}

// fill gives the node the tokens that its earlier process may have held.
func (t *tokens) fill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buckets.Fill()
}

// take takes a token for a request. It waits for an exchange with the bank if the bank
// may have tokens.
func (t *tokens) take(ctx context.Context, workspace string, imp request.Importance) bool {
	now := time.Now()
	t.mu.Lock()
	if t.buckets.Take(now, workspace, imp) {
		t.mu.Unlock()
		return true
	}
	if !t.buckets.CanDraw(now, workspace, imp) {
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
	return t.buckets.TakeAfterExchange(time.Now(), workspace, imp)
}

func (t *tokens) refund(workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buckets.Refund(time.Now(), workspace)
}

// run exchanges tokens with the bank periodically and on demand until ctx ends.
func (t *tokens) run(ctx context.Context) error {
	tick := time.NewTicker(bankExchangeInterval)
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
	sent := t.buckets.PrepareExchange(time.Now())
	holds := !t.bank.Empty()
	waiters := t.waiters
	t.waiters = nil
	t.mu.Unlock()
	defer func() {
		for _, w := range waiters {
			close(w)
		}
	}()
	if len(sent) == 0 && !holds {
		return
	}
	bank := t.chooseBank(time.Now())
	if holds && bank != nil && bank.Node != t.n.settings.Node {
		sent = append(sent, t.releaseBank(bank)...) // if nothing else is sent, the bank's answer tells that it is there
	} else if len(sent) == 0 {
		return
	}
	grants, err := t.askBank(ctx, bank, sent)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.buckets.ExchangeFailed(time.Now(), sent)
		t.n.metrics.Counter("teaselseam_share_exchange_failures_total").Inc()
		return
	}
	t.bankRespondedAt, t.bankNode = time.Now(), bank.Node
	t.buckets.ApplyGrants(t.bankRespondedAt, sent, grants)
}

// releaseBank returns the tokens that this node holds as the bank, for the node that is the bank
// now. It keeps them until that one has answered, since the tokens of a lost message are lost.
func (t *tokens) releaseBank(bank *fleet.Member) []share.Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bankNode != bank.Node {
		return nil
	}
	return t.bank.Release()
}

// chooseBank returns the first candidate that is not paused after a failure; nil if there is none.
func (t *tokens) chooseBank(now time.Time) *fleet.Member {
	for i, m := range fleet.RendezvousOrder(t.n.state.servingMembers(), bankPurpose) {
		if i >= maxBankCandidates {
			break
		}
		if !now.Before(t.pausedUntil[m.Node]) {
			return m
		}
	}
	return nil
}

// askBank sends the transfers to the bank and returns the grants.
func (t *tokens) askBank(ctx context.Context, bank *fleet.Member, sent []share.Transfer) ([]share.Grant, error) {
	if bank == nil {
		return nil, errors.New("no token bank is reachable")
	}
	if bank.Node == t.n.settings.Node {
		return t.handleTransfers(sent), nil
	}
	grants, err := t.post(ctx, bank.Address, sent)
	if err != nil {
		t.pausedUntil[bank.Node] = time.Now().Add(bankRetryPause)
		t.log.Warn("exchange with the token bank failed", "event", "share", "peer", bank.Node, "err", err)
	}
	return grants, err
}

func (t *tokens) post(ctx context.Context, addr string, sent []share.Transfer) ([]share.Grant, error) {
	body, err := json.Marshal(sent)
	if err != nil {
		return nil, oops.With("step", "encode share message").Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, bankExchangeTimeout)
	defer cancel()
	sentAt := clock.SinceBoot()
	resp, callErr := t.n.peers.Post(ctx, addr, bankPath, body)
	if callErr != nil {
		return nil, oops.With("step", "share exchange", "peer", addr).Wrap(callErr)
	}
	if resp.Config != nil {
		t.n.state.applyPeerFreshness(*resp.Config, sentAt)
	}
	if resp.Status != http.StatusOK {
		return nil, oops.With("step", "share exchange", "peer", addr).Errorf("status %d", resp.Status)
	}
	var grants []share.Grant
	if err := json.Unmarshal(resp.Body, &grants); err != nil {
		return nil, oops.With("step", "share exchange", "peer", addr).Wrap(err)
	}
	return grants, nil
}

func (t *tokens) handleTransfers(sent []share.Transfer) []share.Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bank.Handle(time.Now(), sent)
}

// serveBank handles another node's message to the bank.
func (t *tokens) serveBank(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBankMessageBytes))
	var sent []share.Transfer
	if err == nil {
		err = json.Unmarshal(data, &sent)
	}
	if err != nil {
		t.log.Warn("message to the token bank cannot be parsed", "event", "share", "peer", r.RemoteAddr, "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(t.handleTransfers(sent))
	if err != nil {
		t.log.Error("response of the token bank cannot be encoded", "event", "share", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	hop.SetFreshness(w.Header(), t.n.state.configFreshness())
	_, _ = w.Write(body) // the tokens of a lost response are lost, so the limit still holds
}

// bankContact describes the last response of the token bank.
type bankContact struct {
	node string // node that sent it; empty if there was none
	ago  time.Duration
}

// state returns the node's tokens of a workspace and its last contact with the bank.
func (t *tokens) state(workspace string) (float64, bankContact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buckets.Tokens(workspace), bankContact{node: t.bankNode, ago: time.Since(t.bankRespondedAt)}
}
