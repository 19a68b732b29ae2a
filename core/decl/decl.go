package decl

import "time"

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// The kinds of service; the values are those of the setting kind.
const (
	Engine ServiceKind = "engine"
	Plain  ServiceKind = "plain"
)

// Objective is the measure that placement optimizes first for a service.
type Objective string

// The objectives. Latency gives most weight to the latency of programs, Cache to the reuse
// of prefix caches.
const (
	Latency Objective = "latency"
	Cache   Objective = "cache"
)

// Service is a named group of interchangeable targets.
type Service struct {
	Name      string
	Kind      ServiceKind
	Objective Objective
	// RetryRatio is the retry budget: retries allowed per first attempt, from 0 to 1.
	RetryRatio float64
	// QueueLimit is the maximum number of calls queued on one host.
	QueueLimit int
	// Timeout limits the duration of one attempt at a target.
	Timeout time.Duration
	// TurnLimit is the maximum number of calls of one program.
	TurnLimit int
	// HistoryTokens is the maximum length of one program's history, in tokens.
	HistoryTokens int64
	// RepeatLimit is the number of identical bodies in a row at which a program
	// is ended; 0 disables the check.
	RepeatLimit int
	// IdleTimeout is the time without a call after which a program is ended.
	IdleTimeout time.Duration
}

// Target is one model engine or one instance of a plain service.
type Target struct {
	Name       string
	Service    string
	DataCentre string
	Vendor     string
	URL        string
	// Batch is the number of calls that the target runs at once.
	Batch int
	// CacheTokens is the size of the target's prefix cache, in tokens.
	CacheTokens int64
	// Prefill and Decode are the times per prompt token and per output token.
	Prefill time.Duration
	Decode  time.Duration
	Models  []string
	// ChecksFencing reports whether the target refuses requests with an old fencing token.
	ChecksFencing bool
	// Leaving reports that the target is being drained: it gets no new calls.
	Leaving bool
}

// Caller is a client that is authenticated by its token and billed.
type Caller struct {
	Name string
	// TokenSHA256 is the hex digest of the caller's bearer token.
	TokenSHA256 string
	// CallsPerSecond limits the caller's rate at each host; 0 means unlimited.
	CallsPerSecond float64
	// Budget is the default and the maximum budget of one program, in tokens.
	Budget int64
}

// Set is one complete declaration, with its sections by name and the rules in order of
// the file.
type Set struct {
	Services map[string]*Service
	Targets  map[string]*Target
	Callers  map[string]*Caller
	Rules    []*Rule

	byToken map[string]*Caller // by TokenSHA256
}

// CallerByToken returns the caller whose token has the given SHA-256 digest in hex.
func (s *Set) CallerByToken(digest string) (*Caller, bool) {
	c, ok := s.byToken[digest]
	return c, ok
}

// Route returns the decision of the first rule that matches a call, and false when no
// rule matches.
func (s *Set) Route(env *Env) (Then, bool) {
	for _, r := range s.Rules {
		if r.Matches(env) {
			return r.Then, true
		}
	}
	return Then{}, false
}
