package balance

import "time"

const (
	// idleKept is how long an idle connection is taken to live: targets keep theirs
	// for ten seconds and more.
	idleKept = 8 * time.Second
	// idleMost bounds the idle connections counted of one target.
	idleMost = 8
)

// idleConnections estimates the idle connections to a target by the requests that
// began and ended there.
type idleConnections struct {
	n    int
	last time.Duration // when the newest fell idle
}

func (c *idleConnections) any(now time.Duration) bool { return c.n > 0 && now-c.last < idleKept }

func (c *idleConnections) take(now time.Duration) {
	if !c.any(now) {
		c.n = 0
		return
	}
	c.n--
}

func (c *idleConnections) put(now time.Duration) {
	if !c.any(now) {
		c.n = 0
	}
	c.n, c.last = min(idleMost, c.n+1), now
}
