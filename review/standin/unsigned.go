package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// turnsPerSecond is about the traffic of the small site mizuchi-hokkaido.
	turnsPerSecond = 30
	turnsFor       = 75 * time.Second
	// The disruption, as the site has it (garble, share 0.35, x 0.02, 5.5 s): one engine of four spoils
	// spoilShare of its answers for spoilFor, and again after spoilPause.
	spoilShare           = 0.02
	spoilFor, spoilPause = 5500 * time.Millisecond, 1500 * time.Millisecond
	turnDeadline         = 5 * time.Second
)

// playUnsigned plays first turns of programs at engines of which one sends bytes that are not its response.
func playUnsigned(c *cluster, rec *record, trouble bool) (bool, error) {
	started := time.Now()
	var engines []*engine
	for i, zone := range zones {
		e := &engine{id: "i-" + newID()[:8], service: "agent", zone: zone, slots: 48, pieces: pieces, pause: 15 * time.Millisecond, rec: rec}
		if trouble && i == 0 {
			e.spoil = func() bool {
				return time.Since(started)%(spoilFor+spoilPause) < spoilFor && rand.Float64() < spoilShare
			}
		}
		engines = append(engines, e)
	}
	if err := startSystem(c, engines); err != nil {
		return false, err
	}
	t := &turnLog{statuses: map[int]int{}}
	var done sync.WaitGroup
	for end := time.Now().Add(turnsFor); time.Now().Before(end); {
		done.Go(func() { t.turn(c, rec) })
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / turnsPerSecond))
	}
	done.Wait()
	rec.say("%d turns by status: %v; %d successes (2xx) without an engine's signature, %d of them ended as complete without an event", t.total, t.statuses, t.unsigned, t.empty)
	return t.unsigned > 0, nil
}

// turnLog counts what the clients got.
type turnLog struct {
	mu                     sync.Mutex
	total, unsigned, empty int
	statuses               map[int]int
}

// turn sends the first turn of a program once and checks the answer.
func (t *turnLog) turn(c *cluster, rec *record) {
	list := c.entries()
	at, id, program := list[rand.IntN(len(list))], newID(), "p"+newID()[:6]
	rec.add("sent to %s: turn %s of program %s", at.name, id, program)
	r := send(at.callers, "POST", "/sweep/2f", "input of "+program+"\n", map[string]string{
		"X-Pistachioarch-Attempt-Id": id, "X-Pistachioarch-Program-Id": program, "X-Pistachioarch-Session-Id": program,
		"X-Pistachioarch-Program-Deadline-Ms": "5200", "X-Pistachioarch-Token-Budget": "1088", "X-Pistachioarch-Token-Count": "1840,136",
		"X-Pistachioarch-Model": "m", "X-Pistachioarch-Deadline-Ms": "5000",
	}, turnDeadline)
	signature := r.header.Get("X-Pistachioarch-Response-Signature")
	rec.add("answered: turn %s: status %d, signature %q, %d events, error %v", id, r.status, signature, strings.Count(r.body, "\n\n"), r.err)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	t.statuses[r.status]++
	if r.status < 200 || r.status > 299 || signature != "" {
		return
	}
	t.unsigned++
	if r.err == nil && r.body == "" {
		t.empty++
	}
	rec.say("MIXED: turn %s got %d without an engine's signature, %d events, body complete: %t", id, r.status, strings.Count(r.body, "\n\n"), r.err == nil)
}
