package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// largeInput is the input of a turn in bytes, within maxBodyBytes (4,194,304); smallInput is the mean of
	// the small site.
	largeInput, smallInput = 4_000_000, 5_100
	// lineTurns is about the number of turns of a program of the small site.
	lineTurns = 9
	linesFor  = 40 * time.Second
	// programTime is the time objective of a program.
	programTime = 10 * time.Second
	// turnSends and turnAttempts: a turn that has failed is sent again twice, and each time a client tries
	// twice.
	turnSends, turnAttempts = 3, 2
	firstTurnsPerSecond     = 10
	memoryPeriod            = 50 * time.Millisecond
)

// largeLog counts what the clients saw.
type largeLog struct {
	mu                     sync.Mutex
	firstSent, firstServed int
	whole, lost            int
	mostMb                 map[string]float64
}

// playLarge plays lines of turns with large inputs, one after the other, beside first turns of small
// programs.
func playLarge(c *cluster, rec *record, trouble bool) (bool, error) {
	var engines []*engine
	for _, zone := range zones {
		engines = append(engines, &engine{id: "i-" + newID()[:8], service: "agent", zone: zone, slots: 48, pieces: pieces, pause: 15 * time.Millisecond, rec: rec})
	}
	if err := startSystem(c, engines); err != nil {
		return false, err
	}
	log := &largeLog{mostMb: map[string]float64{}}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, m := range c.machines {
		watching.Go(func() { log.watchMemory(m, stop) })
	}
	size := smallInput
	if trouble {
		size = largeInput
	}
	end := time.Now().Add(linesFor)
	var others sync.WaitGroup
	others.Go(func() {
		for time.Now().Before(end) {
			others.Go(func() { log.firstTurn(c, rec) })
			time.Sleep(time.Second / firstTurnsPerSecond)
		}
	})
	for time.Now().Before(end) {
		log.line(c, rec, engines, size)
	}
	others.Wait()
	close(stop)
	watching.Wait()
	for _, m := range c.machines {
		limit := 144
		if m.role == "entry" {
			limit = 134
		}
		rec.say("%s: most memory %.0f MB, its limit is %d MB", m.name, log.mostMb[m.name], limit)
	}
	rec.say("%d lines were whole, %d lost; %d of %d first turns of other programs were served", log.whole, log.lost, log.firstServed, log.firstSent)
	if log.firstServed*10 < log.firstSent*9 {
		return false, fmt.Errorf("under nine tenths of first turns were served: the rule does not apply")
	}
	return log.lost > 0, nil
}

// line plays one program: a line of turns, each naming the one before.
func (l *largeLog) line(c *cluster, rec *record, engines []*engine, size int) {
	program, previous, started := "p"+newID()[:6], "", time.Now()
	for n := range lineTurns {
		age := time.Now()
		tries, id := 0, ""
		for range turnSends {
			if id != "" || time.Since(started) > programTime {
				break
			}
			first := rand.IntN(len(c.entries()))
			for attempt := range turnAttempts {
				at := c.entries()[(first+attempt)%len(c.entries())]
				tries++
				if id = l.turn(c, rec, at, program, previous, strings.Repeat("x", size), programTime-time.Since(started)); id != "" {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			if id == "" {
				time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
			}
		}
		if id != "" {
			previous = id
			continue
		}
		busy := 0
		for _, e := range engines {
			e.mu.Lock()
			busy += e.busy
			e.mu.Unlock()
		}
		if tries >= 5 && time.Since(started) < programTime && 2*busy < len(engines)*engines[0].slots {
			l.lost++
			rec.say("LOST: turn %d of program %s reached no engine in %d tries; it names %s, which was answered whole less than %.0f s ago; %d of %d places of the engines are taken",
				n+1, program, tries, previous, time.Since(age).Seconds()+1, busy, len(engines)*engines[0].slots)
		}
		return
	}
	l.whole++
	rec.add("line of program %s is whole after %.1f s", program, time.Since(started).Seconds())
}

// turn sends one attempt of a turn and returns its id if it was answered whole.
func (l *largeLog) turn(c *cluster, rec *record, at *machine, program, previous, input string, left time.Duration) string {
	id := newID()
	header := map[string]string{
		"X-Pistachioarch-Attempt-Id": id, "X-Pistachioarch-Program-Id": program, "X-Pistachioarch-Session-Id": program,
		"X-Pistachioarch-Program-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "X-Pistachioarch-Token-Budget": "10880",
		"X-Pistachioarch-Token-Count": "1840,136", "X-Pistachioarch-Model": "m", "X-Pistachioarch-Deadline-Ms": "5000",
	}
	if previous != "" {
		header["X-Pistachioarch-Previous-Turn"] = previous
	}
	r := send(at.callers, "POST", "/sweep/2f", input, header, 5*time.Second)
	rec.add("%s: turn %s of program %s, previous %q, input %d bytes: status %d, %d bytes, error %v %q", at.name, id, program, previous, len(input),
		r.status, len(r.body), r.err, r.body[:min(len(r.body), 20)])
	if r.status == 200 && r.err == nil && strings.Count(r.body, "\n\n") == pieces {
		return id
	}
	return ""
}

// firstTurn sends the first turn of a small program once.
func (l *largeLog) firstTurn(c *cluster, rec *record) {
	list := c.entries()
	ok := l.turn(c, rec, list[rand.IntN(len(list))], "s"+newID()[:6], "", strings.Repeat("s", smallInput), programTime) != ""
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstSent++
	if ok {
		l.firstServed++
	}
}

// watchMemory records the most memory that the process of a machine uses.
func (l *largeLog) watchMemory(m *machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPeriod):
		}
		mb := residentMb(m.process.Process.Pid)
		l.mu.Lock()
		l.mostMb[m.name] = max(l.mostMb[m.name], mb)
		l.mu.Unlock()
	}
}

// residentMb returns the memory of a process that is its own, without pages of files.
func residentMb(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}
