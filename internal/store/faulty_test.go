package store

import (
	"context"
	"errors"
	"sync"

	"github.com/teaselseam/teaselseam/internal/platform"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
)

type fault int

const (
	healthy     fault = iota
	lost              // the write takes effect, then fails
	late              // the write fails, and takes effect before a later write
	down              // fails without effect
	conflict          // a conflict that is none, as after a retry inside a client
	unavailable       // not sent
)

var errInjected = errors.New("injected fault")

// faulty is a table that asks next for the fault of each call.
type faulty struct {
	*standin.Memory
	mu   sync.Mutex
	next func(write bool) fault
	held []platform.Transaction
}

func (f *faulty) fault(write bool) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next(write)
}

func (f *faulty) Get(ctx context.Context, key string) (platform.Row, error) {
	if f.fault(false) != healthy {
		return platform.Row{}, errInjected
	}
	return f.Memory.Get(ctx, key)
}

func (f *faulty) Commit(ctx context.Context, tx platform.Transaction) error {
	fault := f.fault(true)
	f.mu.Lock()
	held := f.held
	f.held = nil
	if fault == late {
		f.held = append(f.held, tx)
	}
	f.mu.Unlock()
	for _, h := range held {
		_ = f.Memory.Commit(ctx, h)
	}
	switch fault {
	case healthy:
		return f.Memory.Commit(ctx, tx)
	case lost:
		_ = f.Memory.Commit(ctx, tx)
	case conflict:
		return platform.ErrConflict
	case unavailable:
		return platform.ErrUnavailable
	}
	return errInjected
}

// script returns the faults of successive writes; reads are healthy.
func script(writes ...fault) func(bool) fault {
	return func(write bool) fault {
		if !write || len(writes) == 0 {
			return healthy
		}
		first := writes[0]
		writes = writes[1:]
		return first
	}
}
