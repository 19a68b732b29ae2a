package quorum

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// State is what a Client knows of the history hosts, for operators.
type State struct {
	// Epoch is of the slot map in use; 0 without one.
	Epoch uint64 `json:"epoch"`
	// UnservableSlots is how many slots cannot be served as far as is known.
	UnservableSlots int           `json:"unservable_slots"`
	IsolatedMs      int64         `json:"isolated_ms"`
	Members         []MemberState `json:"members"`
	// Traffic is the account of the calls to history hosts since the start.
	Traffic []CallTraffic `json:"bytes,omitempty"`
}

// MemberState is one history host's disk.
type MemberState struct {
	Member     string `json:"member"`
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// LastAnswerAgeMs is how long ago it last answered; -1 if it never did.
	LastAnswerAgeMs int64 `json:"heard_ms"`
	// FailingForMs is since when it does not answer; 0 if it does.
	FailingForMs int64 `json:"failing_ms"`
}

// State returns a dump of the client.
func (c *Client) State() State {
	now := time.Now()
	s := State{IsolatedMs: c.IsolatedFor().Milliseconds(), Traffic: c.traffic.byKind()}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.slotMap
	if m == nil {
		return s
	}
	s.Epoch, s.UnservableSlots = m.Epoch, c.countUnservableSlots(m, now)
	for id, member := range m.Members {
		s.Members = append(s.Members, c.memberState(id, member, now))
	}
	slices.SortFunc(s.Members, func(a, b MemberState) int { return strings.Compare(a.Host, b.Host) })
	return s
}

func (c *Client) memberState(id string, member placement.Member, now time.Time) MemberState {
	s := MemberState{Member: id, Host: member.Host, DataCentre: member.DataCentre, Address: member.Address, LastAnswerAgeMs: -1}
	if h := c.health[id]; h != nil && !h.answeredAt.IsZero() {
		s.LastAnswerAgeMs = now.Sub(h.answeredAt).Milliseconds()
	}
	s.FailingForMs = c.failingFor(id, now).Milliseconds()
	return s
}

// unservable counts the common slots that cannot be served; the caller holds mu. Those of other
// regions say nothing of whether this host is cut off.
func (c *Client) countUnservableSlots(m *placement.Map, now time.Time) int {
	if !m.IsAssigned() {
		return len(m.GlobalSlots())
	}
	n := 0
	for i := range m.GlobalSlots() {
		if !c.isSlotServable(m, i, now) {
			n++
		}
	}
	return n
}
