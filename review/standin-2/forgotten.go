package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["forgotten"] = forgotten }

// forgotten: one history host is killed for a short time and misses turns. Later a second one is
// killed, and a third one loses its disk meanwhile: one disk is lost, as many as the deployment
// tolerates. Then programs go on from turns that were answered whole.
func forgotten(c *cluster, trouble bool) (bool, error) {
	if err := c.startSmall(); err != nil {
		return false, err
	}
	first, second, third := c.hosts[0], c.hosts[1], c.hosts[2]

	// The first host is away for 2.8 s; programs take their first turn meanwhile.
	if trouble {
		first.kill()
	}
	back := time.After(2800 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	turns, err := firstTurns(c, 160)
	if err != nil {
		return false, err
	}
	<-back
	if trouble {
		if err := first.start(); err != nil {
			return false, err
		}
	}
	if err := c.addHost("history", c.zones[0], 2).start(); err != nil { // a store machine is added
		return false, err
	}
	time.Sleep(9 * time.Second) // catchUpS is 5.2

	// The second host is away for 3.1 s. The third one loses its disk 0.4 s later and is away for 1.9 s.
	began := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(began.Add(time.Duration(seconds * float64(time.Second)))))
	}
	var restarts sync.WaitGroup
	var restartErr error
	if trouble {
		second.kill()
		at(0.4)
		third.kill()
		if err := third.wipe(); err != nil {
			return false, err
		}
		restarts.Go(func() {
			at(2.3)
			restartErr = third.start()
			at(3.1)
			if err := second.start(); err != nil {
				restartErr = err
			}
		})
	}
	at(2.4)
	broken := nextTurns(c, turns, 1200*time.Millisecond)
	restarts.Wait()
	return broken > 0, restartErr
}

// firstTurns plays the first turn of n programs and returns those that were answered whole.
func firstTurns(c *cluster, n int) ([]turn, error) {
	var mu sync.Mutex
	var done []turn
	var group sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			t := turn{program: fmt.Sprintf("%06x", rand.Uint32()>>8), input: "where do we dig?\n", budget: 2000, maxTokens: engineEvents * chunkTokens, deadline: 4 * time.Second}
			t, r := t.sendRetrying(func() string { return c.entryAddress(i) }, routeHost, routePath, c.record, 2)
			if r.status == http.StatusOK && r.whole {
				mu.Lock()
				done = append(done, t)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	c.record.say("first turns: %d of %d answered whole", len(done), n)
	if len(done) < n/2 {
		return nil, fmt.Errorf("only %d first turns were answered whole", len(done))
	}
	return done, nil
}

// nextTurns continues from each turn, at times spread over a period, and returns the number of turns
// that were answered with 404 or 410 although the turn before them was answered whole within the
// retention.
func nextTurns(c *cluster, turns []turn, period time.Duration) int {
	var mu sync.Mutex
	counts := map[string]int{}
	denied := 0
	var group sync.WaitGroup
	for i, previous := range turns {
		group.Go(func() {
			time.Sleep(period * time.Duration(i) / time.Duration(len(turns)))
			next := previous
			next.previous, next.input = previous.id, "and then?\n"
			next, r := next.sendRetrying(func() string { return c.entryAddress(rand.IntN(2)) }, routeHost, routePath, c.record, 3)
			mu.Lock()
			defer mu.Unlock()
			counts[r.String()]++
			if r.status == http.StatusNotFound || r.status == http.StatusGone {
				denied++
				c.record.printf("LOST: turn %s got %d, though turn %s was answered whole", next.id, r.status, previous.id)
			}
		})
	}
	group.Wait()
	c.record.say("next turns: %v", counts)
	return denied
}
