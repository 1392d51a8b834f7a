package era

import (
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// Confirmation decides when the known version of the operator's configuration is proved to
// be the newest. The operator's versions only rise, whatever the era, so a version that
// was known once is never replaced by a lower one. The zero value knows none. It is not
// safe for concurrent use.
type Confirmation struct {
	Tracker
	adopted bool
	version uint64            // newest version known
	row     platform.Revision // of the row in the store, if that holds the newest version
}

// Adopt takes a version from the store or from a peer. It returns false if it is not newer
// than the known one.
func (c *Confirmation) Adopt(version uint64) bool {
	if c.adopted && version <= c.version {
		return false
	}
	c.adopted, c.version, c.row = true, version, platform.Revision{}
	return true
}

// Stored records that the store has a version in the row with the given revision. It
// returns false if that is older than the known version.
func (c *Confirmation) Stored(version uint64, row platform.Revision) bool {
	c.Adopt(version)
	if version == c.version {
		c.row = row
	}
	return version == c.version
}

// Confirms reports whether a response of the store in the known era, which holds all
// changes up to the given time since boot, proves that the known version was the newest
// at that time. Shortly after the store has come back it does so only if the row was
// written since.
func (c *Confirmation) Confirms(asOf time.Duration) bool {
	return c.Settled(asOf) || c.row.Era == c.Era() && c.WrittenIn(c.row.Version)
}
