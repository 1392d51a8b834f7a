package admission

import "time"

// SetBounds changes the bound on the queue's drain time and the largest
// concurrency limit, for example to the number of connections that the backend
// server accepts. Values that are not positive change nothing.
func (c *Controller) SetBounds(maxWait time.Duration, maxLimit int) {
	if maxWait > 0 && maxWait != c.cfg.MaxWait {
		c.cfg.MaxWait = maxWait
		level := c.shed.level
		c.shed = newShedder(maxWait)
		c.shed.level = level
	}
	if maxLimit > 0 {
		c.cfg.MaxLimit = max(maxLimit, c.cfg.MinLimit)
		c.limiter.maxLimit = float64(c.cfg.MaxLimit)
		c.limiter.limit = min(c.limiter.limit, c.limiter.maxLimit)
	}
}
