package decl

import "time"

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	Engine ServiceKind = "engine"
	Plain  ServiceKind = "plain"
)

// Objective is the measure that matters most to the users of a service.
type Objective string

// The objectives. Latency weighs program latency first, Cache wasted cache.
const (
	Latency Objective = "latency"
	Cache   Objective = "cache"
)

// Service is a named group of interchangeable targets.
type Service struct {
	Name      string
	Kind      ServiceKind
	Objective Objective
	// RetryRatio is the retry budget: retries per first attempt.
	RetryRatio float64
	// QueueLimit bounds the calls that one host keeps waiting.
	QueueLimit int
	// Timeout bounds one attempt at a target.
	Timeout time.Duration
	// TurnLimit bounds the calls of one program.
	TurnLimit int
	// HistoryTokens bounds the history of one program.
	HistoryTokens int64
	// RepeatLimit ends a program that sends the same body so many times in a
	// row; 0 turns the check off.
	RepeatLimit int
	// IdleTimeout ends a program that makes no call for so long.
	IdleTimeout time.Duration
}

// Target is one engine or one instance of a plain service.
type Target struct {
	Name       string
	Service    string
	DataCentre string
	Vendor     string
	URL        string
	// Batch is how many calls the target runs at once.
	Batch int
	// CacheTokens is the size of its prefix cache.
	CacheTokens int64
	// Prefill and Decode are the time per token of prompt and of output.
	Prefill time.Duration
	Decode  time.Duration
	Models  []string
	// ChecksFencing says whether it refuses orders with an old fencing number.
	ChecksFencing bool
	// Leaving targets get no new work.
	Leaving bool
}

// Caller is one party that is answered and billed.
type Caller struct {
	Name string
	// TokenSHA256 is the hex digest of the caller's bearer token.
	TokenSHA256 string
	// CallsPerSecond limits the caller's rate at each host; 0 is unlimited.
	CallsPerSecond float64
	// Budget is the default and greatest budget of one program in tokens.
	Budget int64
}

// Set is one complete declaration.
type Set struct {
	Services map[string]*Service
	Targets  map[string]*Target
	Callers  map[string]*Caller
	Rules    []*Rule

	byToken map[string]*Caller
}

// CallerByToken finds the caller whose token has the hex digest.
func (s *Set) CallerByToken(digest string) (*Caller, bool) {
	c, ok := s.byToken[digest]
	return c, ok
}

// Route decides what happens to a call: the first rule that matches.
// ok is false when none does.
func (s *Set) Route(env *Env) (Then, bool) {
	for _, r := range s.Rules {
		if r.Matches(env) {
			return r.Then, true
		}
	}
	return Then{}, false
}
