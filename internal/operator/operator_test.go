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

const treeText = `
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

func editFunc(t *testing.T, text string) func(*FleetConfig) (string, error) {
	t.Helper()
	branches, err := settings.ParseBranches("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return func(f *FleetConfig) (string, error) { return "edited", f.Edit(branches) }
}

// TestChange guards against a configuration for nodes that does not match the tree
// and the keys, and against a change without an entry in the audit trail.
func TestChange(t *testing.T) {
	st, store := newStore(t)
	client := New(store, "ann")
	ctx := context.Background()
	if _, err := client.Apply(ctx, editFunc(t, treeText)); err != nil {
		t.Fatal(err)
	}
	var key string
	if _, err := client.Apply(ctx, func(f *FleetConfig) (string, error) {
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
		t.Errorf("configuration for nodes: %+v", c)
	}
	entries, err := client.Audit(ctx)
	if err != nil || len(entries) != 2 || entries[0].Actor != "ann" || len(entries[0].Branches) != 2 || entries[1].Summary != "issued a key" {
		t.Errorf("audit trail %+v, %v", entries, err)
	}
	if _, err := client.Apply(ctx, func(f *FleetConfig) (string, error) {
		name, err := f.RevokeKey(key)
		return "revoked a key of " + name, err
	}); err != nil {
		t.Fatal(err)
	}
	if c, _ = platform.ParseConfiguration(st.Row("op", "config")); len(c.Workspaces[0].Keys) != 0 {
		t.Errorf("the revoked key is still in the configuration: %+v", c.Workspaces)
	}
}

// TestInvalidChange guards against committing a tree that violates the rules, here a
// route without a path.
func TestInvalidChange(t *testing.T) {
	st, store := newStore(t)
	_, err := New(store, "ann").Apply(context.Background(), editFunc(t, "[route order]\nservice = desk\n"))
	if !errors.Is(err, ErrInvalid) || st.Row("op", "config") != nil {
		t.Errorf("got %v, want ErrInvalid and no configuration row", err)
	}
}

// TestRace guards against concurrent changes of which one overwrites another, although
// both were reported as applied.
func TestRace(t *testing.T) {
	st, store := newStore(t)
	if _, err := New(store, "ann").Apply(context.Background(), editFunc(t, treeText)); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := New(store, "x").Apply(context.Background(), func(f *FleetConfig) (string, error) {
				_, err := f.IssueKey("guild")
				return "issued", err
			})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				accepted++
			case !errors.Is(err, ErrConflict):
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	c, err := platform.ParseConfiguration(st.Row("op", "config"))
	if err != nil || len(c.Workspaces[0].Keys) != accepted || int(c.Version) != 1+accepted {
		t.Errorf("%d changes were accepted; the configuration is %+v, %v", accepted, c, err)
	}
}

// TestLostResponse guards against reporting a change as failed that took effect: the
// store performs the write, but its response is lost.
func TestLostResponse(t *testing.T) {
	st := standin.NewStore()
	server := httptest.NewServer(dropWriteResponses{st.OperatorHandler()})
	defer server.Close()
	client := New(platform.NewStore(strings.TrimPrefix(server.URL, "http://"), nil), "ann")
	if _, err := client.Apply(context.Background(), editFunc(t, treeText)); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	if entries, err := client.Audit(context.Background()); err != nil || len(entries) != 1 {
		t.Errorf("audit trail %+v, %v; want one entry", entries, err)
	}
}

// TestEditAcrossEras guards against overwriting another operator's change that has the
// versions of an earlier one, which a store that came back from an older copy gives out
// again, and against using its configuration version again.
func TestEditAcrossEras(t *testing.T) {
	st, store := newStore(t)
	ctx := context.Background()
	ann, bob := New(store, "ann"), New(store, "bob")
	if _, err := ann.Apply(ctx, editFunc(t, treeText)); err != nil {
		t.Fatal(err)
	}
	copied := st.Copy()
	lost, err := ann.Apply(ctx, editFunc(t, "[workspace guild]\nrate = 30\n"))
	if err != nil {
		t.Fatal(err)
	}
	var repeated *AuditEntry
	_, err = ann.Apply(ctx, func(f *FleetConfig) (string, error) {
		st.ComeBack(copied)
		var bobErr error
		if repeated, bobErr = bob.Apply(ctx, editFunc(t, "[workspace guild]\nrate = 40\n")); bobErr != nil {
			t.Fatal(bobErr)
		}
		return editFunc(t, "[workspace guild]\nrate = 50\n")(f)
	})
	if !errors.Is(err, ErrConflict) {
		t.Errorf("a change that was read before the store came back: %v, want %v", err, ErrConflict)
	}
	f, err := bob.FleetConfig(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if w := settings.Compile(f.Tree).Workspace("guild"); w.Rate != 40 {
		t.Errorf("rate is %v, want 40 as written after the store came back", w.Rate)
	}
	if repeated.Version <= lost.Version {
		t.Errorf("configuration version %d is not newer than the lost one %d, which nodes may hold", repeated.Version, lost.Version)
	}
}
