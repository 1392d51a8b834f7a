package admission

import "time"

// SetBounds changes the longest drain time of the queue and the largest concurrency
// limit, for example to the number of connections that the backend server accepts. A
// value that is not positive leaves its bound unchanged.
func (c *Controller) SetBounds(maxWait time.Duration, maxLimit int) {
	if maxWait > 0 && maxWait != c.cfg.MaxWait {
		c.cfg.MaxWait = maxWait
		level := c.shedder.level
		c.shedder = newShedder(maxWait)
		c.shedder.level = level
	}
	if maxLimit > 0 {
		c.cfg.MaxLimit = max(maxLimit, c.cfg.MinLimit)
		c.limiter.maxLimit = float64(c.cfg.MaxLimit)
		c.limiter.limit = min(c.limiter.limit, c.limiter.maxLimit)
	}
}
