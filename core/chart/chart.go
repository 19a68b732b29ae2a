// Package chart interprets state charts that are kept in files.
//
// A chart file has one statement per line: the initial state, a transition
// (state, event, arrow, next state) or a list of final states. Empty lines and
// lines that start with # are ignored.
//
//	# comment
//	initial received
//	received  admit  -> admitted
//	admitted  queue  -> queued
//	final delivered failed
//
// States and events are compiled to small integers, so a transition is one table
// lookup without allocation.
package chart

import (
	"bufio"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// State is the index of a state in its chart.
type State uint8

// Event is the index of an event in its chart.
type Event uint8

// noState marks a missing transition.
const noState State = 255

// Chart is a compiled state chart. It is immutable once parsed.
type Chart struct {
	name        string
	initial     State
	states      []string
	events      []string
	final       []bool
	transitions [][]State // by state and event; noState if there is none
}

// Parse compiles the text of a chart file; name identifies the file in errors. An
// error is of kind InvalidDeclaration.
func Parse(name, text string) (*Chart, error) {
	c := &Chart{name: name, initial: noState}
	scan := bufio.NewScanner(strings.NewReader(text))
	for line := 1; scan.Scan(); line++ {
		fields := strings.Fields(scan.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if !c.parseLine(fields) {
			return nil, failure.New(failure.InvalidDeclaration, "%s:%d: invalid or contradictory chart statement: %q", name, line, scan.Text())
		}
	}
	if c.initial == noState {
		return nil, failure.New(failure.InvalidDeclaration, "%s: no initial state", name)
	}
	return c, nil
}

// MustParse parses a chart embedded in the program and panics on an error.
func MustParse(name, text string) *Chart {
	c, err := Parse(name, text)
	if err != nil {
		panic(err)
	}
	return c
}

// parseLine adds one statement and reports whether it is valid. A second transition
// for the same state and event must lead to the same state.
func (c *Chart) parseLine(fields []string) bool {
	switch {
	case fields[0] == "initial" && len(fields) == 2:
		c.initial = c.internState(fields[1])
		return true
	case fields[0] == "final" && len(fields) > 1:
		for _, name := range fields[1:] {
			c.final[c.internState(name)] = true
		}
		return true
	case len(fields) == 4 && fields[2] == "->":
		from, ev, to := c.internState(fields[0]), c.internEvent(fields[1]), c.internState(fields[3])
		if c.transitions[from][ev] != noState && c.transitions[from][ev] != to {
			return false
		}
		c.transitions[from][ev] = to
		return true
	}
	return false
}

// internState returns the state with the given name and adds it if it is new.
func (c *Chart) internState(name string) State {
	for i, s := range c.states {
		if s == name {
			return State(i)
		}
	}
	c.states = append(c.states, name)
	c.final = append(c.final, false)
	row := make([]State, len(c.events))
	for i := range row {
		row[i] = noState
	}
	c.transitions = append(c.transitions, row)
	return State(len(c.states) - 1)
}

// internEvent returns the event with the given name and adds it if it is new.
func (c *Chart) internEvent(name string) Event {
	for i, e := range c.events {
		if e == name {
			return Event(i)
		}
	}
	c.events = append(c.events, name)
	for i := range c.transitions {
		c.transitions[i] = append(c.transitions[i], noState)
	}
	return Event(len(c.events) - 1)
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// State returns the state with the given name. It panics if there is none,
// which is a programming error.
func (c *Chart) State(name string) State {
	for i, s := range c.states {
		if s == name {
			return State(i)
		}
	}
	panic(failure.New(failure.Internal, "chart %s has no state %q", c.name, name))
}

// Event returns the event with the given name. It panics if there is none.
func (c *Chart) Event(name string) Event {
	for i, e := range c.events {
		if e == name {
			return Event(i)
		}
	}
	panic(failure.New(failure.Internal, "chart %s has no event %q", c.name, name))
}

// Next returns the state that follows s on event ev. If the chart has no such
// transition, it returns s and false.
func (c *Chart) Next(s State, ev Event) (next State, ok bool) {
	n := c.transitions[s][ev]
	if n == noState {
		return s, false
	}
	return n, true
}

// IsFinal reports whether s is a final state.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// StateName returns the name of s.
func (c *Chart) StateName(s State) string { return c.states[s] }
