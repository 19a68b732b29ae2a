package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	lines  = 8
	pieces = 11
	// faultAt, secondAt and thirdAt are times after the first turns. The second turn is within recoverS
	// after the fault, the third one less than retentionS after the second.
	faultAt  = 38 * time.Second
	secondAt = 44 * time.Second
	thirdAt  = 97 * time.Second
)

// line is a line of three turns.
type line struct {
	first, later        string // programs
	ids                 []string
	body                string // what the engine is to receive before the new input
	wholeAt             time.Time
	answered, brokenErr string
}

// playChain plays lines of turns that go on, after all processes were killed, in a new program, which
// comes back within retentionS.
func playChain(c *cluster, rec *record, trouble bool) (bool, error) {
	var engines []*engine
	for i, zone := range zones {
		engines = append(engines, &engine{id: "i-" + newID()[:8], service: "agent", zone: zone, slots: 48, pieces: pieces, pause: 20 * time.Millisecond, rec: rec})
		engines[i].rec = rec
	}
	if err := startSystem(c, engines); err != nil {
		return false, err
	}
	all := make([]*line, lines)
	for i := range all {
		all[i] = &line{first: "p" + newID()[:6]}
		all[i].later = all[i].first
		if trouble {
			all[i].later = "q" + newID()[:6]
		}
	}
	started := time.Now()
	step := func(at time.Duration, program func(*line) string) error {
		time.Sleep(time.Until(started.Add(at)))
		var done sync.WaitGroup
		for i, l := range all {
			done.Go(func() { l.turn(c, rec, c.entries()[i%len(c.entries())], program(l)) })
		}
		done.Wait()
		for _, l := range all {
			if l.wholeAt.IsZero() {
				return fmt.Errorf("a turn of the preparation failed: %s", l.answered)
			}
		}
		return nil
	}
	if err := step(0, func(l *line) string { return l.first }); err != nil {
		return false, err
	}
	if trouble && os.Getenv("KILL") != "0" {
		time.Sleep(time.Until(started.Add(faultAt)))
		var ended sync.WaitGroup
		for _, m := range c.machines {
			ended.Go(func() { c.kill(m) })
		}
		ended.Wait()
		time.Sleep(800 * time.Millisecond)
		if err := c.startAll(); err != nil {
			return false, err
		}
	}
	if err := step(secondAt, func(l *line) string { return l.later }); err != nil {
		return false, err
	}
	time.Sleep(time.Until(started.Add(thirdAt)))
	lost := 0
	for i, l := range all {
		age := time.Since(l.wholeAt)
		previous := l.ids[len(l.ids)-1]
		l.wholeAt = time.Time{}
		status := l.turn(c, rec, c.entries()[(i+1)%len(c.entries())], l.later)
		if status == 404 || status == 410 {
			lost++
			rec.say("LOST: a turn of %s is answered %d; it names %s, which was answered whole %.1f s ago (retentionS 60)", l.later, status, previous, age.Seconds())
		}
	}
	rec.say("%d of %d turns were answered 404 or 410 though the turn that they name was answered whole less than 60 s ago", lost, lines)
	changed := wrongBodies(engines, all, rec)
	return lost > 0 || changed > 0, nil
}

// turn sends the next turn of a line, as often as a client does, and returns the last status.
func (l *line) turn(c *cluster, rec *record, first *machine, program string) int {
	input := fmt.Sprintf("input %d of %s\n", len(l.ids)+1, l.first)
	status := 0
	for attempt := range 6 {
		at := first
		if attempt > 0 {
			list := c.entries()
			at = list[(attempt+len(l.ids))%len(list)]
		}
		id := newID()
		header := map[string]string{
			"X-Pistachioarch-Attempt-Id": id, "X-Pistachioarch-Program-Id": program, "X-Pistachioarch-Session-Id": l.first,
			"X-Pistachioarch-Program-Deadline-Ms": "5200", "X-Pistachioarch-Token-Budget": "1088", "X-Pistachioarch-Token-Count": "1840,136",
			"X-Pistachioarch-Model": "m", "X-Pistachioarch-Deadline-Ms": "5000",
		}
		previous := "none"
		if len(l.ids) > 0 {
			previous = l.ids[len(l.ids)-1]
			header["X-Pistachioarch-Previous-Turn"] = previous
		}
		rec.add("sent to %s: turn %s of program %s, previous %s", at.name, id, program, previous)
		r := send(at.callers, "POST", "/sweep/2f", input, header, 5*time.Second)
		rec.add("answered: turn %s: status %d, %d bytes, error %v", id, r.status, len(r.body), r.err)
		status, l.answered = r.status, fmt.Sprintf("status %d %q, error %v", r.status, r.body, r.err)
		if r.status == 200 && r.err == nil && strings.Count(r.body, "\n\n") == pieces {
			l.ids, l.wholeAt = append(l.ids, id), time.Now()
			return status
		}
		if r.status >= 400 && r.status < 500 && r.status != 429 {
			return status
		}
		time.Sleep(400 * time.Millisecond)
	}
	return status
}

// wrongBodies counts the runs of turns whose body is not the inputs and outputs of the chain before.
func wrongBodies(engines []*engine, all []*line, rec *record) int {
	wrong := 0
	bodies := map[string]string{}
	for _, r := range allRuns(engines) {
		bodies[r.id] = r.body
	}
	for _, l := range all {
		want := ""
		for i, id := range l.ids {
			want += fmt.Sprintf("input %d of %s\n", i+1, l.first)
			if bodies[id] != want {
				wrong++
				rec.say("UNASKED: turn %s ran with another body than its chain and its input", id)
			}
			want += output(id, pieces)
		}
	}
	return wrong
}
