package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["overspent"] = overspent }

const (
	turnTokens      = engineEvents * chunkTokens
	overspentBudget = 4 * turnTokens
	rounds          = 5
)

// program is a program of a client that counts the tokens it was handed.
type program struct {
	name   string
	tokens atomic.Int64
}

// send sends one turn of the program, and again a few times after anything but a whole answer or a
// final status. It counts the tokens of all attempts.
func (p *program) send(c *cluster, tries int) result {
	for n := 1; ; n++ {
		t := turn{id: newID(), program: p.name, input: "where do we dig?\n", budget: overspentBudget, maxTokens: turnTokens, deadline: 4 * time.Second}
		r := t.send(c.entryAddress(rand.IntN(2)), routeHost, routePath, c.record)
		p.tokens.Add(int64(r.events * chunkTokens))
		if r.status == http.StatusOK && r.whole || r.status == http.StatusPaymentRequired || n == tries {
			return r
		}
		time.Sleep(max(r.retryAfter, 100*time.Millisecond))
	}
}

// overspent: one history host is killed for a short time and misses what programs spend. Later another
// one is to be emptied, and while its slots move a third one loses its disk. The programs, which have
// spent their budgets, go on: those that loop start sub-agents until they are stopped.
func overspent(c *cluster, trouble bool) (bool, error) {
	if err := c.startSmall(); err != nil {
		return false, err
	}
	behind, leaving, wiped := c.hosts[0], c.hosts[1], c.hosts[2]
	if trouble {
		behind.kill()
	}
	back := time.After(2800 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	programs := spendAll(c, 160)
	<-back
	if trouble {
		if err := behind.start(); err != nil {
			return false, err
		}
	}
	if len(programs) < 80 {
		return false, fmt.Errorf("only %d programs spent their budgets", len(programs))
	}
	time.Sleep(9 * time.Second) // catchUpS is 5.2

	for round := 1; round <= rounds; round++ {
		if err := overspentRound(c, trouble, programs, leaving, wiped); err != nil {
			return false, err
		}
		over := 0
		for _, p := range programs {
			if n := p.tokens.Load(); n > overspentBudget+turnTokens {
				over++
				c.record.printf("BUDGET: program %s was handed %d tokens of %d", p.name, n, overspentBudget)
			}
		}
		c.record.say("round %d: %d of %d programs were handed more than their budget and one turn", round, over, len(programs))
		if over > 0 {
			return true, nil
		}
		if !trouble || round == rounds {
			continue
		}
		if err := awaitCompleted(c, leaving.name); err != nil {
			return false, err
		}
		leaving.kill() // the machine is taken away
		next := c.addHost("history", leaving.zone, 1+round)
		if err := next.start(); err != nil {
			return false, err
		}
		time.Sleep(7 * time.Second)
		// The host that took over the slots of the one that left is the next to leave.
		leaving = c.hosts[[]int{3, 6, 7, 8}[round-1]]
	}
	return false, nil
}

// spendAll makes n programs spend their whole budgets, and returns those that did.
func spendAll(c *cluster, n int) []*program {
	var mu sync.Mutex
	var list []*program
	var group sync.WaitGroup
	slots := make(chan struct{}, 16)
	for range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			p := &program{name: fmt.Sprintf("%06x", rand.Uint32()>>8)}
			for range overspentBudget / turnTokens {
				if r := p.send(c, 2); r.status != http.StatusOK {
					return
				}
			}
			mu.Lock()
			list = append(list, p)
			mu.Unlock()
		})
	}
	group.Wait()
	c.record.say("%d of %d programs have spent their budgets", len(list), n)
	return list
}

// overspentRound retires one host and wipes another one, and lets each program start three sub-agents.
func overspentRound(c *cluster, trouble bool, programs []*program, leaving, wiped *host) error {
	began := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(began.Add(time.Duration(seconds * float64(time.Second)))))
	}
	var group sync.WaitGroup
	var failed error
	if trouble {
		wiped.kill()
		if err := wiped.wipe(); err != nil {
			return err
		}
		group.Go(func() {
			at(1.9)
			failed = wiped.start()
		})
		at(2.05)
		c.record.printf("%s is to be emptied", leaving.name)
		c.store.put("retirements", leaving.name, map[string]any{"drainDeadlineS": 9.2})
	}
	at(2.1)
	var mu sync.Mutex
	counts := map[string]int{}
	for i, p := range programs {
		for range 3 {
			group.Go(func() {
				time.Sleep(900 * time.Millisecond * time.Duration(i) / time.Duration(len(programs)))
				for try := 1; ; try++ {
					r := p.send(c, 3)
					mu.Lock()
					counts[r.String()]++
					mu.Unlock()
					if r.status != http.StatusPaymentRequired || try == 3 {
						return
					}
					time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	c.record.say("answers: %v", counts)
	return failed
}

// awaitCompleted waits until the system has reported that a host is empty.
func awaitCompleted(c *cluster, name string) error {
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		o, _ := c.store.get("retirements", name)
		var status struct{ State string }
		if json.Unmarshal(o.Status, &status) == nil && status.State == "completed" {
			c.record.printf("%s is empty", name)
			return nil
		}
	}
	return fmt.Errorf("%s was not emptied", name)
}
