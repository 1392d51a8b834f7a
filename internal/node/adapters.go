package node

import (
	"context"
	"time"

	"github.com/teaselseam/teaselseam/internal/adminapi"
	"github.com/teaselseam/teaselseam/internal/claims"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/guard"
	"github.com/teaselseam/teaselseam/internal/request"
)

// guardClaims lets a guard use the claims service.
type guardClaims struct{ *claims.Service }

// Acquire implements guard.Claims.
func (c guardClaims) Acquire(ctx context.Context, id request.ID) (guard.Claim, *request.Refusal) {
	claim, refusal := c.Service.Acquire(ctx, id)
	if refusal != nil {
		return nil, refusal
	}
	return claim, nil
}

// adminControl adds to the control state what the administration API can show
// besides.
type adminControl struct {
	*control.Control
	crashes *guard.Crashes
}

// QuarantineEntries lists the requests that are refused or under suspicion.
func (a adminControl) QuarantineEntries(now time.Time) []adminapi.QuarantineEntry {
	var out []adminapi.QuarantineEntry
	for _, e := range a.crashes.Entries() {
		out = append(out, adminapi.QuarantineEntry{
			Fingerprint: e.Fingerprint.String(),
			Deaths:      e.Deaths,
			Refused:     e.Until.After(now),
		})
	}
	return out
}
