package quota

import "time"

// Limit is a customer's quota over all hosts.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is how many requests may come at once.
	Burst float64
}

// Tolerance is by how much a quota may be exceeded: in any span of Window, the requests of a
// customer may be (rate * Window + burst) * (1 + Overage) + Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// toleranceUsed is the part of the tolerance by which members may hold more tokens. Small
// quotas, split into parts of about one token, would refuse requests below them without it.
// The rest is for requests that run twice.
const toleranceUsed = 0.8

// WithTolerance adds a part of what is tolerated to the burst.
func (l Limit) WithTolerance(t Tolerance) Limit {
	l.Burst += toleranceUsed * (t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack)
	return l
}

// part is the share of one of n members. A part that holds less than one token could never
// grant any.
func (l Limit) part(n int) Limit {
	k := float64(max(1, n))
	return Limit{Rate: l.Rate / k, Burst: max(1, l.Burst/k)}
}

// bucket is one member's part of a customer's quota.
type bucket struct {
	// limit is that of the newest configuration that an asker knew, and version its.
	limit   Limit
	version uint64
	parts   int
	// tokens are those held at at.
	tokens float64
	at     time.Duration
	// promised is up to when tokens that will come are spoken of to callers.
	promised time.Duration
	starts   starts
	// granted and refused count requests, for operators.
	granted, refused int64
}

// fill adds the tokens that have come since.
func (b *bucket) fill(now time.Duration) {
	part := b.limit.part(b.parts)
	if now > b.at {
		come := part.Rate * (now - b.at).Seconds()
		b.tokens += come
		b.starts.fill(come)
		b.at = now
	}
	b.tokens = min(b.tokens, part.Burst)
}

// follow takes the limit of a newer configuration, and the number of parts. Tokens that came
// by the old ones stay, as far as the new ones allow.
func (b *bucket) follow(version uint64, limit Limit, parts int) {
	if version > b.version {
		b.limit, b.version = limit, version
	}
	b.parts = parts
	b.tokens = min(b.tokens, b.limit.part(b.parts).Burst)
}

// scarce is the part of its tokens below which a bucket is about to run out.
const scarce = 0.5

// allows reports whether a request may have a token: one of a program under way if there is
// one, the first of a program only if those under way will have theirs as well. Programs of
// a customer beyond its quota would else all be begun and nearly all fail on the way.
func (b *bucket) allows(first bool) bool {
	if b.tokens < 1 {
		return false
	}
	return !first || b.tokens >= scarce*b.limit.part(b.parts).Burst || b.starts.allow()
}

// take takes a token.
func (b *bucket) take(first bool) {
	b.tokens--
	b.starts.take(first)
	b.granted++
}

// mostPromise bounds how far ahead callers are told of a token: most wait no longer.
const mostPromise = 2 * time.Second

// refuse returns when the next token of the kind comes, and when one will be there for one
// more caller. Callers that come back are told different times, so that each finds a token,
// and not all the same one.
func (b *bucket) refuse(first bool, now time.Duration) Grant {
	b.refused++
	rate := b.limit.part(b.parts).Rate
	if rate <= 0 {
		return Grant{NextTokenIn: mostPromise, RetryDelay: mostPromise}
	}
	missing := max(0, 1-b.tokens)
	if first {
		missing = max(missing, b.starts.missing())
	}
	due := seconds(missing / rate)
	at := min(max(now+due, b.promised), now+mostPromise)
	b.promised = min(at+seconds(1/rate), now+mostPromise)
	return Grant{NextTokenIn: due, RetryDelay: at - now}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
