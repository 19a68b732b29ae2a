// Package routing holds the configuration that operators declare for the entry
// hosts, and finds the route of a request.
//
// A Table is immutable. A host replaces its table only by one with a higher
// version (see Newer), so that its view never goes backwards.
package routing

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

// The kinds of route.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce requests must never be sent again once they may have run.
	AtMostOnce
	// Streaming requests are AtMostOnce and answered by a series of events.
	Streaming
)

var kindNames = [...]string{Idempotent: "idempotent", AtMostOnce: "at_most_once", Streaming: "streaming"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one declared route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services is where requests go, chosen by weight.
	Services []WeightedService
	// Timeout bounds the time to the final answer; 0 means none.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer earns its full value.
	LatencyObjective time.Duration
	// MaxGap is the longest pause between events that is still on time.
	MaxGap time.Duration
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Sticky routes gain from reaching the target that served the object before.
	Sticky bool
	// Resumable streams may go on at another target after their last event.
	Resumable bool
	// Retained routes keep the turns of programs for Retention.
	Retained  bool
	Retention time.Duration
	// Public routes are served without a key.
	Public bool
	// Regions is where requests may be served and turns kept.
	Regions Regions
}

// Engine is what a service of model engines says of its engines.
type Engine struct {
	Capacity int
	// CacheTokens is the memory of one engine, shared by running requests and cache.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int64
	// MaxPin is the longest time for which a prompt can be kept from eviction.
	MaxPin time.Duration
}

// Service is one declared service.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdStartWindow is how long a target is cold after its start, and ColdPerSecond the requests a
	// second that it bears then from all hosts together; 0 if there is no bound.
	ColdStartWindow time.Duration
	ColdStartRate   float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route // longest prefix first
	// customers is nil where callers need no keys.
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

// RequireKeys makes callers show a key of one of the customers. It is called before the table
// is in use.
func (t *Table) RequireKeys(c *Customers) *Table {
	t.customers = c
	return t
}

// RequiresKey reports whether callers must show a key.
func (t *Table) RequiresKey() bool { return t.customers != nil }

// Customers returns the customers, nil where callers need no keys.
func (t *Table) Customers() *Customers { return t.customers }

// Newer reports whether t may replace current: versions never go back.
func (t *Table) Newer(current *Table) bool {
	return current == nil || t.Version > current.Version
}

// Service returns a declared service.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services, in no order.
func (t *Table) Services() []*Service { return slices.Collect(maps.Values(t.services)) }

// Routes returns all routes, in no order.
func (t *Table) Routes() []*Route {
	var list []*Route
	for _, routes := range t.hosts {
		list = append(list, routes...)
	}
	return list
}

// Match returns the route of the host with the longest prefix of path.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Choose picks a service of the route by weight; draw is uniform in [0, 1).
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Services {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
