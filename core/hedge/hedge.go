package hedge

import (
	"slices"
	"strings"
	"time"
)

const (
	// BudgetRatio is the load that second sends may add, over the answers of their service.
	BudgetRatio = 0.02
	// Burst is the second sends that may be saved up: some that a stalled target holds.
	Burst = 5
	// quantile is the part of a kind's calls that are done before one is sent again.
	quantile = 0.95
	// kept is the times remembered of a kind, and known how many make a verdict.
	kept  = 256
	known = 40
	// kindsMost bounds the kinds and services remembered; configurations name few.
	kindsMost = 512
)

// Hedger decides for one host. Not safe for concurrent use.
type Hedger struct {
	kinds    map[string]*times
	services map[string]*bucket
}

// New returns a Hedger that knows nothing.
func New() *Hedger { return &Hedger{kinds: map[string]*times{}, services: map[string]*bucket{}} }

// times is a ring of the last times of a kind.
type times struct {
	ring  []time.Duration
	next  int
	delay time.Duration
	// fresh counts the times since delay was worked out.
	fresh int
}

// bucket holds the tokens of a service.
type bucket struct {
	tokens        float64
	sent, without int64
}

// RecordAnswer notes a call that was answered, the time since its first send.
func (h *Hedger) RecordAnswer(service, kind string, d time.Duration) {
	if len(h.kinds) >= kindsMost || len(h.services) >= kindsMost {
		clear(h.kinds)
		clear(h.services)
	}
	b := h.bucket(service)
	b.tokens = min(Burst, b.tokens+BudgetRatio)
	t := h.kinds[kind]
	if t == nil {
		t = &times{}
		h.kinds[kind] = t
	}
	t.add(d)
}

func (h *Hedger) bucket(service string) *bucket {
	b := h.services[service]
	if b == nil {
		b = &bucket{}
		h.services[service] = b
	}
	return b
}

// Delay is how long a call of a kind is waited for before it is sent again; false while too
// little is known.
func (h *Hedger) Delay(kind string) (time.Duration, bool) {
	t := h.kinds[kind]
	if t == nil || len(t.ring) < known {
		return 0, false
	}
	return t.quantile(), true
}

// TakeToken takes the token for a second send to a service, if there is one.
func (h *Hedger) TakeToken(service string) bool {
	b := h.bucket(service)
	if b.tokens < 1 {
		b.without++
		return false
	}
	b.tokens--
	b.sent++
	return true
}

func (t *times) add(d time.Duration) {
	t.fresh++
	if len(t.ring) < kept {
		t.ring = append(t.ring, d)
		return
	}
	t.ring[t.next] = d
	t.next = (t.next + 1) % kept
}

// quantile is worked out anew once a part of the times is new.
func (t *times) quantile() time.Duration {
	const renewed = 16
	if t.delay > 0 && t.fresh < renewed {
		return t.delay
	}
	sorted := slices.Sorted(slices.Values(t.ring))
	t.delay, t.fresh = sorted[int(quantile*float64(len(sorted)-1))], 0
	return t.delay
}

// State is what a Hedger knows, for operators.
type State struct {
	Kinds    []KindState    `json:"kinds"`
	Services []ServiceState `json:"services"`
}

// KindState is one kind of call.
type KindState struct {
	Kind string `json:"kind"`
	// DelayMs is how long a call is waited for; -1 while too little is known.
	DelayMs int64 `json:"delay_ms"`
}

// ServiceState is the bucket of one service: tokens left, second sends made, and those for
// which there was no token.
type ServiceState struct {
	Service string  `json:"service"`
	Tokens  float64 `json:"tokens"`
	Sent    int64   `json:"sent"`
	Denied  int64   `json:"without_token"`
}

// State returns what is known, in order of names.
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
		s.Services = append(s.Services, ServiceState{Service: service, Tokens: b.tokens, Sent: b.sent, Denied: b.without})
	}
	slices.SortFunc(s.Kinds, func(a, b KindState) int { return strings.Compare(a.Kind, b.Kind) })
	slices.SortFunc(s.Services, func(a, b ServiceState) int { return strings.Compare(a.Service, b.Service) })
	return s
}
