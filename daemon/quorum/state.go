package quorum

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// State is the state of a Client for operators, in JSON.
type State struct {
	// Epoch is the epoch of the slot map in use, 0 without one.
	Epoch uint64 `json:"epoch"`
	// UnservableSlots is the number of global slots that are known not to be servable.
	UnservableSlots int `json:"unservable_slots"`
	// IsolatedMs is how long most global slots have not been servable, 0 if they are.
	IsolatedMs int64         `json:"isolated_ms"`
	Members    []MemberState `json:"members"`
	// Traffic holds the calls to history hosts and their bytes since the start, by kind of call.
	Traffic []CallTraffic `json:"bytes,omitempty"`
}

// MemberState is the state of one member, a disk of a history host.
type MemberState struct {
	Member     string `json:"member"`
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// LastAnswerAgeMs is the time since its last answer, -1 if it has never answered.
	LastAnswerAgeMs int64 `json:"heard_ms"`
	// FailingForMs is how long it has been failing, 0 if it is not.
	FailingForMs int64 `json:"failing_ms"`
}

// State returns the state of the client and of all members, sorted by host.
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

// countUnservableSlots returns the number of global slots that are not servable; the caller holds
// mu. Regional slots do not count: those of other regions do not show whether this host is
// isolated.
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
