package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// budgetTokens is the budget of the program, turnTokens the most of one turn. A turn generates
	// longPieces events of chunkTokens.
	budgetTokens, turnTokens = 1088, 136
	longPieces, chunkTokens  = 45, 3
	spendingTurns            = 8
	// downFor is how long the store machine is down, as the small site has it.
	downFor = 2800 * time.Millisecond
	// retireAt is the time after the start of traffic at which a store machine is to be emptied; the
	// program was stopped less than retentionS before.
	retireAt = 50 * time.Second
	// returnFor is how long the program that has returned starts sub-agents, one every returnEvery.
	returnFor, returnEvery = 6 * time.Second, 100 * time.Millisecond
	othersPerSecond        = 300
	// wipedFor is how long the machine that loses its disk is down.
	wipedFor = 10 * time.Millisecond
)

// slotMap is what the case reads of the object history/slots.
type slotMap struct {
	Members map[string]struct{ Host string }
	Slots   []struct {
		Replicas []struct {
			Member  string
			Joining bool
		}
		Former string
	}
}

func (s *store) slotMap() (m slotMap, err error) {
	s.mu.Lock()
	o, ok := s.kinds["history"]["slots"]
	s.mu.Unlock()
	if !ok {
		return m, fmt.Errorf("no slot map")
	}
	return m, json.Unmarshal(o.Spec, &m)
}

// programOfSlot draws a program id that lies in a slot.
func programOfSlot(slot, slots int) string {
	for {
		id := "p" + newID()[:8]
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		if int(h.Sum32())%slots == slot {
			return id
		}
	}
}

// playReplaced plays a looping program that has spent its budget and comes back while a store machine is
// emptied and another one loses its disk.
func playReplaced(c *cluster, rec *record, trouble bool) (bool, error) {
	var engines []*engine
	for _, zone := range zones {
		engines = append(engines, &engine{id: "i-" + newID()[:8], service: "agent", zone: zone, slots: 48, pieces: longPieces, shortOf: "o", pause: 2 * time.Millisecond, rec: rec, quiet: true})
	}
	if err := startSystem(c, engines); err != nil {
		return false, err
	}
	m, err := c.store.slotMap()
	if err != nil {
		return false, err
	}
	slot := rand.IntN(64)
	machines := map[string]*machine{}
	for _, x := range c.machines {
		machines[x.name] = x
	}
	var replicas []*machine
	for _, r := range m.Slots[slot].Replicas {
		replicas = append(replicas, machines[m.Members[r.Member].Host])
	}
	if len(replicas) != 3 {
		return false, fmt.Errorf("the slot has %d replicas", len(replicas))
	}
	leaving, down, wiped := replicas[0], replicas[1], replicas[2]
	p := &spender{program: programOfSlot(slot, 64), c: c, rec: rec}
	rec.say("program %s, slot %d on %s (will be emptied), %s (will be down) and %s (will lose its disk)", p.program, slot, leaving.name, down.name, wiped.name)

	started := time.Now()
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { otherTraffic(c, rec, stop, &others) })
	defer func() { close(stop); others.Wait() }()
	time.Sleep(4 * time.Second)
	if trouble {
		c.kill(down)
	}
	killedAt := time.Now()
	p.turns(spendingTurns/2, 2)
	if p.served != spendingTurns {
		return false, fmt.Errorf("%d of %d turns of the program were served at first", p.served, spendingTurns)
	}
	time.Sleep(time.Until(killedAt.Add(downFor)))
	if trouble {
		if err := c.start(down); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	p.turn()
	if p.refused != 1 {
		return false, fmt.Errorf("the budget is spent, but one more turn was not answered 402")
	}
	rec.say("%d tokens were handed to clients, the budget is %d; one more turn is answered 402: the program is stopped", p.tokens, budgetTokens)
	time.Sleep(time.Until(started.Add(retireAt)))

	var lines sync.WaitGroup
	end := time.Now().Add(returnFor)
	lines.Go(func() {
		for time.Now().Before(end) {
			lines.Go(p.turn)
			time.Sleep(returnEvery)
		}
	})
	if trouble {
		if err := p.emptyAndWipe(leaving, wiped); err != nil {
			return false, err
		}
	}
	lines.Wait()
	rec.say("the program came back: %d turns served in all, %d answered 402, %d tokens handed to clients; budget %d, most of one turn %d", p.served, p.refused, p.tokens, budgetTokens, turnTokens)
	return p.tokens > budgetTokens+turnTokens, nil
}

// emptyAndWipe asks for a store machine to be emptied, and another one loses its disk right after.
func (p *spender) emptyAndWipe(leaving, wiped *machine) error {
	c := p.c
	c.store.put("retirements", leaving.name, map[string]any{"drainDeadlineS": 10})
	p.rec.add("retirements/%s is written", leaving.name)
	c.signal(wiped, syscall.SIGKILL)
	<-wiped.ended
	if err := os.RemoveAll(filepath.Join(c.dir, wiped.name)); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(c.dir, wiped.name), 0o755); err != nil {
		return err
	}
	p.rec.add("%s has lost its disk", wiped.name)
	time.Sleep(wipedFor)
	return c.start(wiped)
}

// spender is a program without end, with what its clients got.
type spender struct {
	program string
	c       *cluster
	rec     *record

	mu                      sync.Mutex
	served, refused, tokens int
}

// turns sends n turns one after the other, on several lines at once.
func (p *spender) turns(n, parallel int) {
	var done sync.WaitGroup
	for range parallel {
		done.Go(func() {
			for range n {
				p.turn()
			}
		})
	}
	done.Wait()
}

// turn sends the first turn of a sub-agent and counts the tokens that the client gets.
func (p *spender) turn() {
	list := p.c.entries()
	at, id := list[rand.IntN(len(list))], newID()
	r := send(at.callers, "POST", "/sweep/2f", "input of "+id+"\n", turnHeader(id, p.program), turnDeadline)
	got := strings.Count(r.body, "\n\n") * chunkTokens
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.status == 200 {
		p.served++
		p.tokens += got
	}
	if r.status == 402 {
		p.refused++
	}
	p.rec.add("%s: turn %s of program %s: status %d, %d tokens, error %v; %d tokens of the program so far", at.name, id, p.program, r.status, got, r.err, p.tokens)
}

func turnHeader(id, program string) map[string]string {
	return map[string]string{
		"X-Pistachioarch-Attempt-Id": id, "X-Pistachioarch-Program-Id": program, "X-Pistachioarch-Session-Id": id,
		"X-Pistachioarch-Program-Deadline-Ms": "5200", "X-Pistachioarch-Token-Budget": fmt.Sprint(budgetTokens),
		"X-Pistachioarch-Token-Count": fmt.Sprintf("1840,%d", turnTokens), "X-Pistachioarch-Model": "m", "X-Pistachioarch-Deadline-Ms": "5000",
	}
}

// otherTraffic sends first turns of other programs, so that the store machines have something to keep.
func otherTraffic(c *cluster, rec *record, stop <-chan struct{}, done *sync.WaitGroup) {
	list := c.entries()
	input := strings.Repeat("i", 5100)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / othersPerSecond):
		}
		done.Go(func() {
			id := newID()
			r := send(list[rand.IntN(len(list))].callers, "POST", "/sweep/2f", input, turnHeader(id, "o"+id[:10]), turnDeadline)
			if r.status != 200 || r.err != nil {
				rec.add("turn %s of another program: status %d, error %v", id, r.status, r.err)
			}
		})
	}
}
