package quota

import "time"

// Limit is a customer's quota over all hosts.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the number of requests that may arrive at the same time.
	Burst float64
}

// Tolerance is the amount by which a quota may be exceeded: in any span of Window, a customer
// may send (Rate * Window + Burst) * (1 + Overage) + Slack requests.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of the quota.
	Overage float64
	// Slack is in requests.
	Slack float64
}

// burstToleranceFraction is the fraction of the tolerance that is added to the burst. Without
// it, members would refuse requests below a small quota, which is split into parts of about
// one token. The rest of the tolerance covers requests that run twice.
const burstToleranceFraction = 0.8

// WithTolerance returns the limit with a fraction of the tolerance added to the burst.
func (l Limit) WithTolerance(t Tolerance) Limit {
	l.Burst += burstToleranceFraction * (t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack)
	return l
}

// part returns the part of one of n members. Its burst is at least one token, since a smaller
// bucket could never grant any.
func (l Limit) part(n int) Limit {
	parts := float64(max(1, n))
	return Limit{Rate: l.Rate / parts, Burst: max(1, l.Burst/parts)}
}

// bucket is one member's part of a customer's quota.
type bucket struct {
	// limit is the customer's limit in the newest configuration that any host has sent, and
	// version the version of that configuration.
	limit   Limit
	version uint64
	parts   int
	// tokens is the number of tokens at refilledAt.
	tokens     float64
	refilledAt time.Duration
	// promisedUntil is the time up to which future tokens were promised to callers as
	// retry delays.
	promisedUntil time.Duration
	starts        startLimiter
	// granted and refused count requests, for operators.
	granted, refused int64
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now time.Duration) {
	part := b.limit.part(b.parts)
	if now > b.refilledAt {
		added := part.Rate * (now - b.refilledAt).Seconds()
		b.tokens += added
		b.starts.refill(added)
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, part.Burst)
}

// applyLimit applies the number of parts, and the limit if its configuration is newer. Tokens
// earned before are kept as far as the new burst allows.
func (b *bucket) applyLimit(version uint64, limit Limit, parts int) {
	if version > b.version {
		b.limit, b.version = limit, version
	}
	b.parts = parts
	b.tokens = min(b.tokens, b.limit.part(b.parts).Burst)
}

// lowTokensFraction is the fraction of its burst below which a bucket is about to run out.
const lowTokensFraction = 0.5

// allows reports whether a request may have a token. Requests of running programs may have any
// token that there is. When tokens are low, the first request of a program may have one only
// if tokens remain for the running programs: otherwise all programs of a customer over its
// quota would start, and nearly all would fail before they complete.
func (b *bucket) allows(firstOfProgram bool) bool {
	if b.tokens < 1 {
		return false
	}
	return !firstOfProgram || b.tokens >= lowTokensFraction*b.limit.part(b.parts).Burst || b.starts.allows()
}

// take removes a token.
func (b *bucket) take(firstOfProgram bool) {
	b.tokens--
	b.starts.record(firstOfProgram)
	b.granted++
}

// maxRetryDelay bounds the retry delay sent to callers, most of which wait no longer.
const maxRetryDelay = 2 * time.Second

// refuse returns when the next token of the requested kind is due and when the caller should
// retry. Concurrent callers receive different retry delays, one token interval apart, so that
// each of them finds a token and they do not compete for the same one.
func (b *bucket) refuse(firstOfProgram bool, now time.Duration) Grant {
	b.refused++
	rate := b.limit.part(b.parts).Rate
	if rate <= 0 {
		return Grant{NextTokenIn: maxRetryDelay, RetryDelay: maxRetryDelay}
	}
	missing := max(0, 1-b.tokens)
	if firstOfProgram {
		missing = max(missing, b.starts.missingTokens())
	}
	nextTokenIn := seconds(missing / rate)
	retryAt := min(max(now+nextTokenIn, b.promisedUntil), now+maxRetryDelay)
	b.promisedUntil = min(retryAt+seconds(1/rate), now+maxRetryDelay)
	return Grant{NextTokenIn: nextTokenIn, RetryDelay: retryAt - now}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
