package guard

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/control"
)

// Timers of the check on the backend server.
const (
	healthInterval = 500 * time.Millisecond
	// confirmTimeout bounds the connection attempt that confirms a loss.
	confirmTimeout = 300 * time.Millisecond
	// A process that ends closes its connections and its listener one after the
	// other, so the first attempt may still be accepted.
	confirmTries = 3
	confirmPause = 10 * time.Millisecond
)

// Events are told by a Backend. The functions must not block for long.
type Events struct {
	// Announced is called for each announcement; fresh means a new instance.
	Announced func(a control.Announcement, fresh bool)
	// Lost is called when the backend server stopped announcing itself or
	// refuses connections.
	Lost func()
	// Died is called once for each instance that refuses connections or was
	// replaced.
	Died func(instance string)
}

// Watch reports a backend server that stops announcing itself, until ctx ends.
func (b *Backend) Watch(ctx context.Context) error {
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if a := b.current.Load(); a != nil && now.Sub(a.received) >= announcementTimeout {
				b.lose(a)
			}
		}
	}
}

// lose marks an instance as gone until it announces itself again.
func (b *Backend) lose(a *announced) {
	if !a.lost.CompareAndSwap(false, true) {
		return
	}
	if b.events.Lost != nil {
		b.events.Lost()
	}
}

// die records the death of an instance. All callers return after it was
// recorded, so that no call that failed with the instance is forgotten before.
func (b *Backend) die(a *announced) {
	b.lose(a)
	a.died.Do(func() {
		if b.events.Died != nil {
			b.events.Died(a.Instance)
		}
	})
}

// suspect follows a failed call: if the backend server refuses a connection
// too, its process has ended.
func (b *Backend) suspect(a *announced, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.die(a)
		return
	}
	for range confirmTries {
		if refusesConnections(a.Address) {
			b.die(a)
			return
		}
		time.Sleep(confirmPause)
	}
}

func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, confirmTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
