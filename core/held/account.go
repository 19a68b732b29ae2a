package held

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the purpose of held bytes.
type Kind int

// The kinds of held bytes.
const (
	// Body is the part of a caller's request that was read. It is held for further sends.
	Body Kind = iota
	// Prompt is a prompt that is rebuilt from earlier turns, and these turns meanwhile.
	Prompt
	// Answer is the part of a target's plain answer that was read and not yet sent to the caller.
	Answer
	// Events is the part of a target's event stream that was read and not yet sent to the caller.
	Events
	// Record is the part of a turn that was sent to the caller, held until the turn is recorded.
	Record
	kindCount
)

var kindNames = [kindCount]string{"body", "prompt", "answer", "events", "record"}

// String returns the kind's name in metrics and state dumps.
func (k Kind) String() string { return kindNames[k] }

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Body, Prompt, Answer, Events, Record} }

// isOfAnswer reports whether bytes of the kind are part of an answer: the work that an engine has
// done for it would be lost with them.
func (k Kind) isOfAnswer() bool { return k >= Answer }

const (
	// MinRequestBytes is the smallest number of bytes that a request is charged.
	MinRequestBytes = 96 << 10
	// runtimeOverheadBytes is charged in addition to the bytes that a request holds, for the
	// buffers of two connections and the stacks of four goroutines. MinRequestBytes includes it.
	runtimeOverheadBytes = 32 << 10
	// requestMemoryShare and answerMemoryShare are the fractions of the memory limit that may be
	// held for requests, and for requests and answers together. The rest is left to the runtime
	// and to garbage on the heap.
	requestMemoryShare = 0.4
	answerMemoryShare  = 0.45
	// descriptorsPerRequest counts the caller's connection and two connections to targets: there
	// are two while one is being replaced.
	descriptorsPerRequest = 3
	// minRequests is the number of requests that are allowed whatever the limits are.
	minRequests = 16
	// unboundedBytes is a bound that is never reached.
	unboundedBytes = 1 << 60
)

// stallTimeout is the time without progress after which a caller counts as slow. It allows for
// many round trips, and for a caller that is busy for a moment.
const stallTimeout = 500 * time.Millisecond

// Account accounts for the bytes that a host holds. It is not safe for concurrent use, and
// neither are its request accounts.
type Account struct {
	maxRequests                         int
	requestBoundBytes, answerBoundBytes int64
	chargedBytes                        int64
	heldByKind                          [kindCount]int64
	requests                            map[*RequestAccount]struct{}
	admissions                          uint64
}

// New returns an account with the bounds that follow from a host's memory limit in bytes and its
// limit of file descriptors. A limit of 0 means none.
func New(memoryBytes int64, descriptors int) *Account {
	a := &Account{maxRequests: 1 << 30, requestBoundBytes: unboundedBytes, answerBoundBytes: unboundedBytes, requests: map[*RequestAccount]struct{}{}}
	if memoryBytes > 0 {
		a.requestBoundBytes = max(minRequests*MinRequestBytes, int64(requestMemoryShare*float64(memoryBytes)))
		a.answerBoundBytes = max(a.requestBoundBytes, int64(answerMemoryShare*float64(memoryBytes)))
		a.maxRequests = min(a.maxRequests, int(a.requestBoundBytes/MinRequestBytes))
	}
	if descriptors > 0 {
		a.maxRequests = min(a.maxRequests, descriptors/descriptorsPerRequest)
	}
	a.maxRequests = max(minRequests, a.maxRequests)
	return a
}

// RequestAccount accounts for the bytes that one request holds.
type RequestAccount struct {
	account    *Account
	sequence   uint64
	heldByKind [kindCount]int64
	heldBytes  int64
	// waitingSince is the time of the last progress while the request waits for its caller.
	waitingSince time.Duration
	isWaiting    bool
	// isEvicted is set once SelectEvictions has chosen the request.
	isEvicted bool
}

// Admit adds a request charged with MinRequestBytes, or returns false if that would exceed the
// request bound or MaxRequests.
func (a *Account) Admit() (*RequestAccount, bool) {
	if len(a.requests) >= a.maxRequests || a.chargedBytes+MinRequestBytes > a.requestBoundBytes {
		return nil, false
	}
	a.admissions++
	r := &RequestAccount{account: a, sequence: a.admissions}
	a.requests[r] = struct{}{}
	a.chargedBytes += MinRequestBytes
	return r, true
}

// chargeFor returns the bytes that a request is charged if it holds n bytes.
func chargeFor(n int64) int64 { return max(MinRequestBytes, runtimeOverheadBytes+n) }

// isClosed reports whether Close was called.
func (r *RequestAccount) isClosed() bool {
	_, open := r.account.requests[r]
	return !open
}

// Reserve charges n more bytes of a kind. It returns false, and charges nothing, if that would
// exceed the bound or the account is closed.
func (r *RequestAccount) Reserve(k Kind, n int64) bool {
	if n <= 0 {
		return true
	}
	if r.isClosed() {
		return false
	}
	a := r.account
	extra := chargeFor(r.heldBytes+n) - chargeFor(r.heldBytes)
	if extra > 0 && a.chargedBytes+extra > a.boundFor(k) {
		return false
	}
	r.adjust(k, n)
	return true
}

// boundFor returns the bound in bytes that applies to a kind.
func (a *Account) boundFor(k Kind) int64 {
	if k.isOfAnswer() {
		return a.answerBoundBytes
	}
	return a.requestBoundBytes
}

// Release discharges n bytes of a kind, at most as many as the request holds of it.
func (r *RequestAccount) Release(k Kind, n int64) {
	if n <= 0 || r.isClosed() {
		return
	}
	r.adjust(k, -min(n, r.heldByKind[k]))
}

// adjust adds n bytes of a kind, which may be negative, to the request and its account.
func (r *RequestAccount) adjust(k Kind, n int64) {
	a := r.account
	before := chargeFor(r.heldBytes)
	r.heldByKind[k] += n
	r.heldBytes += n
	a.heldByKind[k] += n
	a.chargedBytes += chargeFor(r.heldBytes) - before
}

// Close ends the request and discharges all its bytes. Further calls have no effect.
func (r *RequestAccount) Close() {
	if r.isClosed() {
		return
	}
	a := r.account
	for _, k := range Kinds() {
		a.heldByKind[k] -= r.heldByKind[k]
	}
	a.chargedBytes -= chargeFor(r.heldBytes)
	r.heldByKind, r.heldBytes = [kindCount]int64{}, 0
	delete(a.requests, r)
}

// StartCallerWait records that from now on the request waits for its caller to read or to send.
// A further call records progress and restarts the stall timeout.
func (r *RequestAccount) StartCallerWait(now time.Duration) { r.isWaiting, r.waitingSince = true, now }

// StopCallerWait records that the request no longer waits for its caller.
func (r *RequestAccount) StopCallerWait() { r.isWaiting = false }

// HeldBytes returns the bytes that the request holds, without overhead.
func (r *RequestAccount) HeldBytes() int64 { return r.heldBytes }

// stalledFor returns the time without progress, 0 if the caller is not slow.
func (r *RequestAccount) stalledFor(now time.Duration) time.Duration {
	if !r.isWaiting || now-r.waitingSince < stallTimeout {
		return 0
	}
	return now - r.waitingSince
}

// Eviction is a request to end because its caller is slow.
type Eviction struct {
	Request *RequestAccount
	// StalledFor is the time without progress.
	StalledFor time.Duration
}

// SelectEvictions returns the requests to end so that one more request and n more bytes of a kind
// fit into the bounds: as many as that takes in addition to those that were selected before and
// are not closed yet. Each request is selected at most once, and only if its caller is slow.
func (a *Account) SelectEvictions(now time.Duration, k Kind, n int64) []Eviction {
	missingBytes := a.chargedBytes + n - a.boundFor(k)
	remaining := len(a.requests)
	var stalled []*RequestAccount
	for r := range a.requests {
		switch {
		case r.isEvicted:
			missingBytes -= chargeFor(r.heldBytes)
			remaining--
		case r.stalledFor(now) > 0:
			stalled = append(stalled, r)
		}
	}
	if remaining >= a.maxRequests {
		missingBytes = max(missingBytes, 1)
	}
	slices.SortFunc(stalled, func(x, y *RequestAccount) int {
		return cmp.Or(cmp.Compare(y.evictionWeight(now), x.evictionWeight(now)), cmp.Compare(x.sequence, y.sequence))
	})
	var evictions []Eviction
	for _, r := range stalled {
		if missingBytes <= 0 {
			break
		}
		r.isEvicted = true
		missingBytes -= chargeFor(r.heldBytes)
		evictions = append(evictions, Eviction{Request: r, StalledFor: r.stalledFor(now)})
	}
	return evictions
}

// evictionWeight returns the charged bytes times the stalled time in seconds, by which requests of
// slow callers are ordered.
func (r *RequestAccount) evictionWeight(now time.Duration) float64 {
	return float64(chargeFor(r.heldBytes)) * r.stalledFor(now).Seconds()
}

// ActiveRequests returns the number of requests that are not closed.
func (a *Account) ActiveRequests() int { return len(a.requests) }

// MaxRequests returns the maximum number of requests that are not closed.
func (a *Account) MaxRequests() int { return a.maxRequests }

// ChargedBytes returns the bytes that all requests are charged.
func (a *Account) ChargedBytes() int64 { return a.chargedBytes }

// HeldBytes returns the bytes of a kind that all requests hold.
func (a *Account) HeldBytes(k Kind) int64 { return a.heldByKind[k] }

// State is a dump of the account for operators.
type State struct {
	ChargedBytes int64 `json:"charged_bytes"`
	// RequestBoundBytes and AnswerBoundBytes are the bounds, 0 if there is none.
	RequestBoundBytes int64 `json:"request_bound_bytes"`
	AnswerBoundBytes  int64 `json:"answer_bound_bytes"`
	// Bytes holds the bytes of each kind, by its name.
	Bytes map[string]int64 `json:"bytes"`
	// SlowCallers is the number of callers without progress for the stall timeout.
	SlowCallers int `json:"slow_callers"`
}

// State returns a dump of the account.
func (a *Account) State(now time.Duration) State {
	s := State{ChargedBytes: a.chargedBytes, Bytes: map[string]int64{}}
	if a.requestBoundBytes < unboundedBytes {
		s.RequestBoundBytes, s.AnswerBoundBytes = a.requestBoundBytes, a.answerBoundBytes
	}
	for _, k := range Kinds() {
		s.Bytes[k.String()] = a.heldByKind[k]
	}
	for r := range a.requests {
		if r.stalledFor(now) > 0 {
			s.SlowCallers++
		}
	}
	return s
}
