package operator

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/standin"
	"github.com/teaselseam/teaselseam/platform"
)

const tree = `
[workspace guild]
rate = 20
burst = 10
[route order]
path = /order
service = desk
importance = critical
`

func newStore(t *testing.T) (*standin.Store, *platform.Store) {
	t.Helper()
	st := standin.NewStore()
	server := httptest.NewServer(st.OperatorHandler())
	t.Cleanup(server.Close)
	return st, platform.NewStore(strings.TrimPrefix(server.URL, "http://"), nil)
}

func edit(t *testing.T, text string) func(*FleetConfig) (string, error) {
	t.Helper()
	branches, err := settings.ParseBranches("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return func(f *FleetConfig) (string, error) { return "edited", f.Edit(branches) }
}

// TestChange guards against a configuration for nodes that differs from the tree
// and keys, and against a change without an entry in the audit trail.
func TestChange(t *testing.T) {
	st, client := newStore(t)
	o := New(client, "ann")
	ctx := context.Background()
	if _, err := o.Apply(ctx, edit(t, tree)); err != nil {
		t.Fatal(err)
	}
	var key string
	if _, err := o.Apply(ctx, func(f *FleetConfig) (string, error) {
		var err error
		key, err = f.IssueKey("guild")
		return "issued a key", err
	}); err != nil {
		t.Fatal(err)
	}
	c, err := platform.ParseConfiguration(st.Row("op", "config"))
	if err != nil {
		t.Fatal(err)
	}
	r, w := c.Routes[0], c.Workspaces[0]
	if c.Version != 2 || r.Prefix != "/order/" || r.Priority != 0 || r.Idempotent || w.Rate != 20 || len(w.Keys) != 1 || w.Keys[0] != key {
		t.Errorf("nodes read %+v", c)
	}
	changes, err := o.Audit(ctx)
	if err != nil || len(changes) != 2 || changes[0].Actor != "ann" || len(changes[0].Branches) != 2 || changes[1].Summary != "issued a key" {
		t.Errorf("audit trail %+v, %v", changes, err)
	}
	if _, err := o.Apply(ctx, func(f *FleetConfig) (string, error) {
		name, err := f.RevokeKey(key)
		return "revoked a key of " + name, err
	}); err != nil {
		t.Fatal(err)
	}
	if c, _ = platform.ParseConfiguration(st.Row("op", "config")); len(c.Workspaces[0].Keys) != 0 {
		t.Errorf("the revoked key is still there: %+v", c.Workspaces)
	}
}

// TestInvalidChange guards against a configuration that breaks the rules of the
// tree.
func TestInvalidChange(t *testing.T) {
	st, client := newStore(t)
	_, err := New(client, "ann").Apply(context.Background(), edit(t, "[route order]\nservice = desk\n"))
	if !errors.Is(err, ErrInvalid) || st.Row("op", "config") != nil {
		t.Errorf("%v", err)
	}
}

// TestRace guards against two operators who overwrite each other's change.
func TestRace(t *testing.T) {
	st, client := newStore(t)
	if _, err := New(client, "ann").Apply(context.Background(), edit(t, tree)); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := New(client, "x").Apply(context.Background(), func(f *FleetConfig) (string, error) {
				_, err := f.IssueKey("guild")
				return "issued", err
			})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				done++
			case !errors.Is(err, ErrConflict):
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	c, err := platform.ParseConfiguration(st.Row("op", "config"))
	if err != nil || len(c.Workspaces[0].Keys) != done || int(c.Version) != 1+done {
		t.Errorf("%d changes were accepted; the configuration is %+v, %v", done, c, err)
	}
}

// TestLostAnswer guards against reporting a change as failed that took effect.
func TestLostAnswer(t *testing.T) {
	st := standin.NewStore()
	server := httptest.NewServer(loseWrites{st.OperatorHandler()})
	defer server.Close()
	o := New(platform.NewStore(strings.TrimPrefix(server.URL, "http://"), nil), "ann")
	if _, err := o.Apply(context.Background(), edit(t, tree)); !errors.Is(err, ErrUnknown) {
		t.Errorf("got %v", err)
	}
	if changes, err := o.Audit(context.Background()); err != nil || len(changes) != 1 {
		t.Errorf("the audit trail does not tell: %+v, %v", changes, err)
	}
}
