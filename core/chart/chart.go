// Package chart interprets state charts that are kept in files.
//
// A chart file has one transition a line:
//
//	# comment
//	initial received
//	received  admit  -> admitted
//	admitted  queue  -> queued
//	final delivered failed
//
// States and events are compiled to small integers, so that one transition is
// one table look-up without allocation.
package chart

import (
	"bufio"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// State is a state of a chart.
type State uint8

// Event is an event of a chart.
type Event uint8

const noState State = 255

// Chart is a compiled state chart. It is immutable.
type Chart struct {
	name    string
	initial State
	states  []string
	events  []string
	final   []bool
	next    [][]State
}

// Parse compiles the text of a chart file; name is used in errors.
func Parse(name, text string) (*Chart, error) {
	c := &Chart{name: name, initial: noState}
	scan := bufio.NewScanner(strings.NewReader(text))
	for line := 1; scan.Scan(); line++ {
		words := strings.Fields(scan.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if !c.parseLine(words) {
			return nil, failure.New(failure.InvalidDeclaration, "%s:%d: not a chart line: %q", name, line, scan.Text())
		}
	}
	if c.initial == noState {
		return nil, failure.New(failure.InvalidDeclaration, "%s: no initial state", name)
	}
	return c, nil
}

// MustParse is Parse for charts embedded in the program.
func MustParse(name, text string) *Chart {
	c, err := Parse(name, text)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) parseLine(words []string) bool {
	switch {
	case words[0] == "initial" && len(words) == 2:
		c.initial = c.state(words[1])
		return true
	case words[0] == "final" && len(words) > 1:
		for _, w := range words[1:] {
			c.final[c.state(w)] = true
		}
		return true
	case len(words) == 4 && words[2] == "->":
		from, ev, to := c.state(words[0]), c.event(words[1]), c.state(words[3])
		if c.next[from][ev] != noState && c.next[from][ev] != to {
			return false
		}
		c.next[from][ev] = to
		return true
	}
	return false
}

func (c *Chart) state(name string) State {
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
	c.next = append(c.next, row)
	return State(len(c.states) - 1)
}

func (c *Chart) event(name string) Event {
	for i, e := range c.events {
		if e == name {
			return Event(i)
		}
	}
	c.events = append(c.events, name)
	for i := range c.next {
		c.next[i] = append(c.next[i], noState)
	}
	return Event(len(c.events) - 1)
}

// Initial returns the state in which the chart starts.
func (c *Chart) Initial() State { return c.initial }

// State returns the state of that name; it panics on an unknown one, which is
// a fault in the program.
func (c *Chart) State(name string) State {
	for i, s := range c.states {
		if s == name {
			return State(i)
		}
	}
	panic(failure.New(failure.Internal, "chart %s has no state %q", c.name, name))
}

// Event returns the event of that name; it panics on an unknown one.
func (c *Chart) Event(name string) Event {
	for i, e := range c.events {
		if e == name {
			return Event(i)
		}
	}
	panic(failure.New(failure.Internal, "chart %s has no event %q", c.name, name))
}

// Next returns the state after ev in s; ok is false when the chart has no such
// transition, and the state is then unchanged.
func (c *Chart) Next(s State, ev Event) (next State, ok bool) {
	n := c.next[s][ev]
	if n == noState {
		return s, false
	}
	return n, true
}

// IsFinal reports whether s is a final state.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// StateName returns the name of s.
func (c *Chart) StateName(s State) string { return c.states[s] }
