package sidecar

import (
	"slices"

	"github.com/teaselseam/teaselseam/platform"
)

// Reload applies changed settings while the node runs, without touching any request: the
// bounds and the address of the store. It returns the names of the settings that differ
// from those in force and need a restart, because the node is known to others by them or
// listens there. Until then the node goes on with the earlier ones, and its status says
// so.
func (n *Node) Reload(next *platform.Settings) (pending []string) {
	pending = restartSettings(n.settings, next)
	n.bounds.Store(&next.Bounds)
	n.sockets.SetLimit(next.Sockets)
	n.memory.SetLimit(bodyMemory(next))
	if old := n.storeAddress.Swap(&next.StoreAddress); *old != next.StoreAddress {
		n.store.SetAddress(next.StoreAddress)
		n.store.CloseIdle()
		n.state.abortWatches()
	}
	n.pendingSettings.Store(&pending)
	n.log.Info("settings applied", "event", "reload", "store", next.StoreAddress, "revoke", next.Bounds.Revoke,
		"grace", next.Bounds.StopGrace, "retry_ratio", next.Bounds.RetryRatio, "pending", pending)
	return pending
}

// restartSettings returns the names of the settings that differ and apply at a start only.
func restartSettings(running, next *platform.Settings) []string {
	var out []string
	for _, f := range []struct {
		name    string
		differs bool
	}{
		{"node", running.Node != next.Node},
		{"ip", running.IP != next.IP},
		{"data_centre", running.DataCentre != next.DataCentre},
		{"callers", running.CallerAddress != next.CallerAddress},
		{"peers", running.PeerAddress != next.PeerAddress},
		{"ready", running.ReadyAddress != next.ReadyAddress},
		{"announcements", running.AnnounceAddress != next.AnnounceAddress},
		{"backend", running.BackendAddress != next.BackendAddress},
		{"service", running.Service != next.Service},
		{"ports", running.FirstPort != next.FirstPort || running.LastPort != next.LastPort},
	} {
		if f.differs {
			out = append(out, f.name)
		}
	}
	return slices.Clip(out)
}
