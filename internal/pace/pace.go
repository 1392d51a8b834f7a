// Package pace runs periodic work that is frequent only while there is something
// to do.
package pace

import (
	"context"
	"time"
)

// Run calls work at the busy interval while work reports that there is
// something to do, and at the idle interval otherwise. A signal on wake ends an
// idle wait. Ticking always at the busy interval took 1 to 2 % of a core on an
// idle node, most of what control may use.
func Run(ctx context.Context, busy, idle time.Duration, wake <-chan struct{}, work func(now time.Time) bool) error {
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-t.C:
		}
		next := idle
		if work(time.Now()) {
			next = busy
		}
		t.Reset(next)
	}
}

// Wake signals a waiting Run without blocking. The channel needs a buffer of one.
func Wake(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
