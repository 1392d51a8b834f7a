package replica

import "time"

// minWatchWait is the long-poll wait after a watch that received nothing.
const minWatchWait = time.Second

// WatchWait chooses the long-poll waits of successive watches of a table. A connection may
// go silent for good without an error, and only the response at the end of the wait proves
// that it did not. After a watch without a response the waits are short, since connections
// are lost in clusters, and double with each response up to Max. It is not safe for
// concurrent use.
type WatchWait struct {
	Max     time.Duration
	reduced time.Duration // zero for Max
}

// Next returns the wait of the next watch.
func (w *WatchWait) Next() time.Duration {
	if w.reduced == 0 {
		return w.Max
	}
	return w.reduced
}

// Record records whether a watch has received a response.
func (w *WatchWait) Record(answered bool) {
	switch {
	case !answered:
		w.reduced = min(minWatchWait, w.Max)
	case w.reduced > 0:
		if w.reduced *= 2; w.reduced >= w.Max {
			w.reduced = 0
		}
	}
}
