package hedge

import (
	"slices"
	"strings"
	"time"
)

const (
	// BudgetRatio is the number of second sends allowed for each answer of their service,
	// and so the relative load that they may add.
	BudgetRatio = 0.02
	// Burst is the number of tokens that may accumulate, for the calls that one stalled
	// target holds up.
	Burst = 5
	// delayQuantile is the quantile of the latencies of a kind after which a call is sent a
	// second time.
	delayQuantile = 0.95
	// maxSamples is the number of latencies kept of a kind; minSamples is the number needed
	// for a delay.
	maxSamples = 256
	minSamples = 40
	// maxNames bounds the kinds and the services kept; configurations name few.
	maxNames = 512
)

// Hedger decides on the second sends of one host. Not safe for concurrent use.
type Hedger struct {
	kinds    map[string]*latencies
	services map[string]*bucket
}

// New returns a Hedger without recorded calls or tokens.
func New() *Hedger {
	return &Hedger{kinds: map[string]*latencies{}, services: map[string]*bucket{}}
}

// latencies is a ring buffer of the last latencies of a kind.
type latencies struct {
	ring []time.Duration
	next int
	// delay is the quantile at its last computation, and newSamples the number of latencies
	// added since then.
	delay      time.Duration
	newSamples int
}

// bucket holds the tokens of a service, and counts the second sends made and those denied for
// lack of a token.
type bucket struct {
	tokens       float64
	sent, denied int64
}

// RecordAnswer records an answered call and its latency since the first send.
func (h *Hedger) RecordAnswer(service, kind string, latency time.Duration) {
	if len(h.kinds) >= maxNames || len(h.services) >= maxNames {
		clear(h.kinds)
		clear(h.services)
	}
	b := h.bucket(service)
	b.tokens = min(Burst, b.tokens+BudgetRatio)
	l := h.kinds[kind]
	if l == nil {
		l = &latencies{}
		h.kinds[kind] = l
	}
	l.add(latency)
}

func (h *Hedger) bucket(service string) *bucket {
	b := h.services[service]
	if b == nil {
		b = &bucket{}
		h.services[service] = b
	}
	return b
}

// Delay returns the time from the first to the second send of a call of a kind, and false
// while too few calls of the kind are recorded.
func (h *Hedger) Delay(kind string) (time.Duration, bool) {
	l := h.kinds[kind]
	if l == nil || len(l.ring) < minSamples {
		return 0, false
	}
	return l.quantile(), true
}

// TakeToken takes the token for a second send to a service and reports whether there was one.
func (h *Hedger) TakeToken(service string) bool {
	b := h.bucket(service)
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.sent++
	return true
}

func (l *latencies) add(latency time.Duration) {
	l.newSamples++
	if len(l.ring) < maxSamples {
		l.ring = append(l.ring, latency)
		return
	}
	l.ring[l.next] = latency
	l.next = (l.next + 1) % maxSamples
}

// quantile returns delayQuantile of the latencies. It sorts them only once several are new.
func (l *latencies) quantile() time.Duration {
	const recomputeAfter = 16 // new samples
	if l.delay > 0 && l.newSamples < recomputeAfter {
		return l.delay
	}
	sorted := slices.Sorted(slices.Values(l.ring))
	l.delay, l.newSamples = sorted[int(delayQuantile*float64(len(sorted)-1))], 0
	return l.delay
}

// State is the state of a Hedger, for operators.
type State struct {
	Kinds    []KindState    `json:"kinds"`
	Services []ServiceState `json:"services"`
}

// KindState is the state of one kind of call.
type KindState struct {
	Kind string `json:"kind"`
	// DelayMs is the delay before the second send, in milliseconds; -1 while too few calls
	// are recorded.
	DelayMs int64 `json:"delay_ms"`
}

// ServiceState is the budget of one service: tokens left, second sends made, and second sends
// denied for lack of a token.
type ServiceState struct {
	Service string  `json:"service"`
	Tokens  float64 `json:"tokens"`
	Sent    int64   `json:"sent"`
	Denied  int64   `json:"without_token"`
}

// State returns the state of all kinds and services, sorted by name.
func (h *Hedger) State() State {
	s := State{Kinds: []KindState{}, Services: []ServiceState{}}
	for kind := range h.kinds {
		k := KindState{Kind: kind, DelayMs: -1}
		if d, ok := h.Delay(kind); ok {
			k.DelayMs = d.Milliseconds()
		}
		s.Kinds = append(s.Kinds, k)
	}
	for service, b := range h.services {
		s.Services = append(s.Services, ServiceState{Service: service, Tokens: b.tokens, Sent: b.sent, Denied: b.denied})
	}
	slices.SortFunc(s.Kinds, func(a, b KindState) int { return strings.Compare(a.Kind, b.Kind) })
	slices.SortFunc(s.Services, func(a, b ServiceState) int { return strings.Compare(a.Service, b.Service) })
	return s
}
