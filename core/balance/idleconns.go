package balance

import "time"

const (
	// idleConnTimeout is the assumed lifetime of an idle connection: targets keep theirs for ten
	// seconds or longer.
	idleConnTimeout = 8 * time.Second
	// maxIdleConns bounds the idle connections counted per target.
	maxIdleConns = 8
)

// idleConns estimates the number of idle connections to a target from the requests that started
// and ended there.
type idleConns struct {
	n          int
	lastIdleAt time.Duration // when the newest connection became idle
}

func (c *idleConns) available(now time.Duration) bool {
	return c.n > 0 && now-c.lastIdleAt < idleConnTimeout
}

func (c *idleConns) take(now time.Duration) {
	if !c.available(now) {
		c.n = 0
		return
	}
	c.n--
}

func (c *idleConns) put(now time.Duration) {
	if !c.available(now) {
		c.n = 0
	}
	c.n, c.lastIdleAt = min(maxIdleConns, c.n+1), now
}
