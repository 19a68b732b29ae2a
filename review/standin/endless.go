package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	callers      = 24
	callsFor     = 75 * time.Second
	callPause    = 100 * time.Millisecond
	callDeadline = 3 * time.Second
	// entryMemoryMb is the limit of an entry host of the small site. The platform kills a process that uses
	// more, and starts it again after a short delay.
	entryMemoryMb = 134
	restartDelay  = 300 * time.Millisecond
)

// playEndless plays calls on kept connections at a plain service, of whose three engines one sends, in place
// of some answers, bytes that are not a response, until its connection is closed.
func playEndless(c *cluster, rec *record, trouble bool) (bool, error) {
	started := time.Now()
	var engines []*engine
	for i := range 3 {
		e := &engine{id: "i-" + newID()[:8], service: "app", zone: zones[i], slots: 6, rec: rec}
		e.work = func() time.Duration { return 100*time.Millisecond + rand.N(80*time.Millisecond) }
		if trouble && i == 0 {
			e.endless = func() bool {
				return time.Since(started)%(spoilFor+spoilPause) < spoilFor && rand.Float64() < spoilShare
			}
		}
		engines = append(engines, e)
	}
	if err := startSystem(c, engines); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watching, calling sync.WaitGroup
	kills, failed := make([]int, len(c.entries())), make([]error, len(c.entries()))
	for i, m := range c.entries() {
		watching.Go(func() { kills[i], failed[i] = keepToLimit(c, rec, m, stop) })
	}
	log := &callLog{closed: map[string]string{}}
	end := time.Now().Add(callsFor)
	for i := range callers {
		calling.Go(func() { log.caller(c.entries()[i%len(c.entries())], rec, end) })
	}
	calling.Wait()
	close(stop)
	watching.Wait()
	if err := errors.Join(failed...); err != nil {
		return false, err
	}
	sound := map[string]bool{}
	for _, e := range engines {
		if e.endless == nil {
			for _, r := range allRuns([]*engine{e}) {
				sound[r.id] = true
			}
		}
	}
	lost := map[string]int{}
	for id, machine := range log.closed {
		if sound[id] {
			lost[machine]++
			rec.add("call %s ran at a sound engine, and %s closed its kept connection without an answer", id, machine)
		}
	}
	broken := false
	for i, m := range c.entries() {
		rec.say("%s: killed %d times for its memory; closed %d kept connections without an answer to a call that a sound engine ran", m.name, kills[i], lost[m.name])
		broken = broken || lost[m.name] > 3
	}
	rec.say("%d calls, %d answered with success", log.sent, log.served)
	return broken, nil
}

// keepToLimit does what the platform does to a process that uses more memory than its limit. It returns how
// often.
func keepToLimit(c *cluster, rec *record, m *machine, stop <-chan struct{}) (kills int, err error) {
	for {
		select {
		case <-stop:
			return kills, nil
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		pid := m.process.Process.Pid
		m.mu.Unlock()
		if mb := residentMb(pid); mb > entryMemoryMb {
			rec.say("%s uses %.0f MB, over its limit of %d MB: killed", m.name, mb, entryMemoryMb)
			c.signal(m, syscall.SIGKILL)
			<-m.ended
			kills++
			time.Sleep(restartDelay)
			if err := c.start(m); err != nil {
				return kills, err
			}
		}
	}
}

// callLog holds what the clients saw.
type callLog struct {
	mu           sync.Mutex
	sent, served int
	// closed holds, by call, the machine that closed a kept connection without an answer.
	closed map[string]string
}

// caller makes one call after the other on one kept connection, and on a new one if that ends.
func (l *callLog) caller(m *machine, rec *record, end time.Time) {
	kept := 0
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
	for time.Now().Before(end) {
		id := newID()
		status, err := l.call(client, m, id)
		rec.add("%s: call %s, %d answered before on its connection: status %d, error %v", m.name, id, kept, status, err)
		l.mu.Lock()
		l.sent++
		switch {
		case err == nil && status == http.StatusOK:
			l.served++
		case err != nil && kept > 0:
			l.closed[id] = m.name
		}
		l.mu.Unlock()
		kept++
		if err != nil {
			kept = 0
			client.CloseIdleConnections()
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(callPause)
	}
}

// call makes one call.
func (l *callLog) call(client *http.Client, m *machine, id string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.callers+"/order/2f", bytes.NewReader([]byte("order "+id)))
	if err != nil {
		return 0, err
	}
	r.Host = "ficu95.example"
	r.Header.Set("X-Pistachioarch-Attempt-Id", id)
	r.Header.Set("X-Pistachioarch-Program-Id", "p"+id[:6])
	r.Header.Set("X-Pistachioarch-Session-Id", "p"+id[:6])
	r.Header.Set("X-Pistachioarch-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
