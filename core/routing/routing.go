// Package routing holds the configuration that operators declare for the entry
// hosts, and finds the route of a request.
//
// A Table is immutable. A host replaces its table only by one with a higher version
// (see Newer), so its configuration never goes back to an older version.
package routing

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind states how often a request may run.
type Kind uint8

// The kinds of route.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce requests must not be sent again once they may have run.
	AtMostOnce
	// Streaming requests are AtMostOnce and are answered by a stream of events.
	Streaming
)

var kindNames = [...]string{Idempotent: "idempotent", AtMostOnce: "at_most_once", Streaming: "streaming"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// WeightedService is one service of a route that splits its requests by weight.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Route is one declared route: the requests to a host with a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services are the services that requests are sent to, chosen by weight.
	Services []WeightedService
	// Timeout limits the time to the final answer; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer has its full value.
	LatencyObjective time.Duration
	// MaxGap is the longest gap between events of a stream that is still on time.
	MaxGap time.Duration
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Sticky requests benefit from the target that served the same object before.
	Sticky bool
	// Resumable streams can continue at another target after their last event.
	Resumable bool
	// Retained routes store the turns of programs for Retention.
	Retained  bool
	Retention time.Duration
	// Public routes need no customer key.
	Public bool
	// Regions is where requests may be served and turns stored.
	Regions Regions
}

// Engine describes each model engine of a service.
type Engine struct {
	// Capacity is the number of requests that one engine runs at once.
	Capacity int
	// CacheTokens is the memory of one engine in tokens, shared by running requests and the
	// prefix cache.
	CacheTokens int
	// TokensPerEvent is the number of tokens per event of a stream.
	TokensPerEvent int64
	// MaxPin is the maximum time for which a prompt can be protected from eviction.
	MaxPin time.Duration
}

// Service is one declared service.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdStartWindow is the time after its start for which a target is cold. ColdStartRate
	// is the rate that it sustains during that time, in requests per second from all hosts
	// together; 0 means no limit.
	ColdStartWindow time.Duration
	ColdStartRate   float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a header and a body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time within which a header must arrive, IdleTimeout the time for
	// which an idle connection is kept.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route // longest prefix first
	// customers is nil if callers need no keys.
	customers *Customers
}

// NewTable builds a table from its parts.
func NewTable(version uint64, limits Limits, services []*Service, routes []*Route) *Table {
	t := &Table{Version: version, Limits: limits, services: map[string]*Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// RequireKeys makes callers present a key of one of the customers and returns t. It must be
// called before the table is in use.
func (t *Table) RequireKeys(c *Customers) *Table {
	t.customers = c
	return t
}

// RequiresKey reports whether callers must present a customer key.
func (t *Table) RequiresKey() bool { return t.customers != nil }

// Customers returns the customers, or nil if callers need no keys.
func (t *Table) Customers() *Customers { return t.customers }

// Newer reports whether t may replace current, which may be nil: versions never go back.
func (t *Table) Newer(current *Table) bool {
	return current == nil || t.Version > current.Version
}

// Service returns a declared service.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services, in no particular order.
func (t *Table) Services() []*Service { return slices.Collect(maps.Values(t.services)) }

// Routes returns all routes, in no particular order.
func (t *Table) Routes() []*Route {
	var list []*Route
	for _, routes := range t.hosts {
		list = append(list, routes...)
	}
	return list
}

// Match returns the route of host with the longest prefix of path. It ignores the case and
// the port of host.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Choose returns a service of the route, chosen by weight; draw is uniform in [0, 1). If all
// weights are 0, it returns the last service.
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Services {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
