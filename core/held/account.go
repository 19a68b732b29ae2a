package held

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what held bytes are for.
type Kind int

// The kinds of held bytes.
const (
	// Body is what was read of a caller's request. It is kept for further sends.
	Body Kind = iota
	// Prompt is a prompt rebuilt from earlier turns, and these while it is built.
	Prompt
	// Answer is what was read of a target's plain answer and not yet taken by its caller.
	Answer
	// Events is what was read of a stream and not yet taken by its caller.
	Events
	// Record is what was handed out of a turn and is kept until the turn is written down.
	Record
	kinds
)

var names = [kinds]string{"body", "prompt", "answer", "events", "record"}

// String returns the kind's name in metrics and dumps.
func (k Kind) String() string { return names[k] }

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Body, Prompt, Answer, Events, Record} }

// sent reports whether bytes of the kind exist only because an engine was at work, whose
// answer would be lost with them.
func (k Kind) sent() bool { return k >= Answer }

const (
	// FloorBytes is the least that a request is charged.
	MinRequestBytes = 96 << 10
	// runtimeBytes is the part of the floor for buffers of two connections and stacks of
	// four goroutines; it adds to what a request holds.
	runtimeBytes = 32 << 10
	// memoryForRequests and memoryForAnswers are the parts of the memory limit up to which
	// requests, and with them answers, may be held. The rest is the runtime's and the heap's
	// garbage.
	memoryForRequests = 0.4
	memoryForAnswers  = 0.45
	// requestDescriptors is what one request needs: the caller's connection, and one
	// to a target, twice while one is being replaced.
	requestDescriptors = 3
	// leastRequests is always allowed.
	leastRequests = 16
	// unbounded is a bound that is never reached.
	unbounded = 1 << 60
)

// stalledAfter is for how long nothing moved until a caller counts as slow: many round
// trips, and time for a caller that is busy for a moment.
const stalledAfter = 500 * time.Millisecond

// Account is what a host holds. It is not safe for concurrent use.
type Account struct {
	limit        int
	lower, upper int64
	charged      int64
	by           [kinds]int64
	holders      map[*RequestAccount]struct{}
	enters       uint64
}

// New returns an account with the bounds that follow from a host's limits; a limit of 0
// does not bind.
func New(memoryBytes int64, descriptors int) *Account {
	a := &Account{limit: 1 << 30, lower: unbounded, upper: unbounded, holders: map[*RequestAccount]struct{}{}}
	if memoryBytes > 0 {
		a.lower = max(leastRequests*MinRequestBytes, int64(memoryForRequests*float64(memoryBytes)))
		a.upper = max(a.lower, int64(memoryForAnswers*float64(memoryBytes)))
		a.limit = min(a.limit, int(a.lower/MinRequestBytes))
	}
	if descriptors > 0 {
		a.limit = min(a.limit, descriptors/requestDescriptors)
	}
	a.limit = max(leastRequests, a.limit)
	return a
}

// Holder is what one request holds.
type RequestAccount struct {
	account *Account
	order   uint64
	by      [kinds]int64
	bytes   int64
	// waiting is since when the request has waited for its caller without anything moving.
	waiting time.Duration
	waits   bool
	// ended is set once the holder was named to end.
	ended bool
}

// Enter admits a request, or reports that there is no room for it.
func (a *Account) Admit() (*RequestAccount, bool) {
	if len(a.holders) >= a.limit || a.charged+MinRequestBytes > a.lower {
		return nil, false
	}
	a.enters++
	h := &RequestAccount{account: a, order: a.enters}
	a.holders[h] = struct{}{}
	a.charged += MinRequestBytes
	return h, true
}

// charge is what a request that holds n bytes is charged.
func charge(n int64) int64 { return max(MinRequestBytes, runtimeBytes+n) }

// gone reports whether the holder has left.
func (h *RequestAccount) gone() bool {
	_, in := h.account.holders[h]
	return !in
}

// Grow charges n more bytes of a kind. It reports false, and charges nothing, where the
// bound is reached or the holder has left.
func (h *RequestAccount) Reserve(k Kind, n int64) bool {
	if n <= 0 {
		return true
	}
	if h.gone() {
		return false
	}
	a := h.account
	more := charge(h.bytes+n) - charge(h.bytes)
	if more > 0 && a.charged+more > a.bound(k) {
		return false
	}
	h.add(k, n)
	return true
}

func (a *Account) bound(k Kind) int64 {
	if k.sent() {
		return a.upper
	}
	return a.lower
}

// Release takes up to n bytes of a kind off.
func (h *RequestAccount) Release(k Kind, n int64) {
	if n <= 0 || h.gone() {
		return
	}
	h.add(k, -min(n, h.by[k]))
}

func (h *RequestAccount) add(k Kind, n int64) {
	a := h.account
	before := charge(h.bytes)
	h.by[k] += n
	h.bytes += n
	a.by[k] += n
	a.charged += charge(h.bytes) - before
}

// Leave ends the request and takes off all that it was charged.
func (h *RequestAccount) Close() {
	if h.gone() {
		return
	}
	a := h.account
	for _, k := range Kinds() {
		a.by[k] -= h.by[k]
	}
	a.charged -= charge(h.bytes)
	h.by, h.bytes = [kinds]int64{}, 0
	delete(a.holders, h)
}

// Await notes that from now on the request waits for its caller to read or to send. Called
// again when something has moved, it begins anew.
func (h *RequestAccount) StartCallerWait(now time.Duration) { h.waits, h.waiting = true, now }

// Arrived notes that the request waits for its caller no more.
func (h *RequestAccount) StopCallerWait() { h.waits = false }

// Bytes is what the request holds.
func (h *RequestAccount) HeldBytes() int64 { return h.bytes }

// stalled is for how long nothing has moved, 0 if the caller is not slow.
func (h *RequestAccount) stalled(now time.Duration) time.Duration {
	if !h.waits || now-h.waiting < stalledAfter {
		return 0
	}
	return now - h.waiting
}

// Slow is a caller that is to end.
type Eviction struct {
	Request *RequestAccount
	// For is how long nothing has moved.
	StalledFor time.Duration
}

// Slowest returns the holders that are to end so that there is room for one more request and
// n more bytes of a kind: as many as that takes beside those that were named before and have not left yet.
// Each is named once; none is while no caller is slow.
func (a *Account) SelectEvictions(now time.Duration, k Kind, n int64) []Eviction {
	lacking := a.charged + n - a.bound(k)
	staying := len(a.holders)
	var slow []*RequestAccount
	for h := range a.holders {
		switch {
		case h.ended:
			lacking -= charge(h.bytes)
			staying--
		case h.stalled(now) > 0:
			slow = append(slow, h)
		}
	}
	if staying >= a.limit {
		lacking = max(lacking, 1)
	}
	slices.SortFunc(slow, func(x, y *RequestAccount) int {
		return cmp.Or(cmp.Compare(y.weight(now), x.weight(now)), cmp.Compare(x.order, y.order))
	})
	var end []Eviction
	for _, h := range slow {
		if lacking <= 0 {
			break
		}
		h.ended = true
		lacking -= charge(h.bytes)
		end = append(end, Eviction{Request: h, StalledFor: h.stalled(now)})
	}
	return end
}

// weight orders slow callers: bytes times time.
func (h *RequestAccount) weight(now time.Duration) float64 {
	return float64(charge(h.bytes)) * h.stalled(now).Seconds()
}

// Active is the number of requests held.
func (a *Account) ActiveRequests() int { return len(a.holders) }

// Limit is the most requests held at once.
func (a *Account) MaxRequests() int { return a.limit }

// Charged is what all requests are charged.
func (a *Account) ChargedBytes() int64 { return a.charged }

// Of is what all requests hold of a kind.
func (a *Account) HeldBytes(k Kind) int64 { return a.by[k] }

// State is a dump of the account for operators.
type State struct {
	ChargedBytes int64 `json:"charged_bytes"`
	// RequestBound and AnswerBound are the lower and the upper bound, 0 if there is none.
	RequestBoundBytes int64            `json:"request_bound_bytes"`
	AnswerBoundBytes  int64            `json:"answer_bound_bytes"`
	Bytes             map[string]int64 `json:"bytes"`
	// SlowCallers is the number of callers for which nothing has moved for a while.
	SlowCallers int `json:"slow_callers"`
}

// State returns a dump of the account.
func (a *Account) State(now time.Duration) State {
	s := State{ChargedBytes: a.charged, Bytes: map[string]int64{}}
	if a.lower < unbounded {
		s.RequestBoundBytes, s.AnswerBoundBytes = a.lower, a.upper
	}
	for _, k := range Kinds() {
		s.Bytes[k.String()] = a.by[k]
	}
	for h := range a.holders {
		if h.stalled(now) > 0 {
			s.SlowCallers++
		}
	}
	return s
}
