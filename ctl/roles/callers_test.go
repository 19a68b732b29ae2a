package roles

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/ctl/vnet"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

const (
	callerPlace = "10.9.0.9"
	// turnPatience is how long a caller waits for one attempt.
	turnPatience = 5 * time.Second
	// tries is how often a caller sends a turn in all.
	tries = 60
	// turnPause is the time of a program's own between turns.
	turnPause = 200 * time.Millisecond
	// loopWidth is how many turns a program that never ends runs at once.
	loopWidth = 5
)

// try is one attempt of a caller and what it got.
type try struct {
	ID, Program, Path, Body string
	// Customer is whose key it shows.
	Customer    string
	Entry       string
	Sent, Ended time.Time
	Status      int
	Answer      string
	// Whole is set if the answer came to its proper end.
	Whole bool
	// Cut is set if the connection broke after the request was sent.
	Cut bool
}

// caller runs programs and records every attempt.
type caller struct {
	c      *cluster
	client *http.Client

	mu       sync.Mutex
	tries    []try
	finished int
	nextID   int
	failures []string
}

func newCaller(c *cluster) *caller {
	dial := vnet.Dialer{Net: c.net, From: callerPlace}.DialContext
	return &caller{c: c, client: &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: time.Second}}}
}

func (k *caller) id() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	return "r" + strconv.Itoa(k.nextID)
}

// send makes one attempt at an entry host.
func (k *caller) send(program, path, body string, at int, headers map[string]string) try {
	e := k.c.entryAt(at)
	t := try{Customer: strings.TrimSuffix(headers[ownheaders.Key], "-key"), ID: k.id(), Program: program, Path: path, Body: body, Entry: e.name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), turnPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.place+":80"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "x"
	req.Header.Set(ownheaders.ID, t.ID)
	req.Header.Set(ownheaders.Program, program)
	req.Header.Set(ownheaders.Timeout, strconv.FormatInt(turnPatience.Milliseconds(), 10))
	for name, v := range headers {
		req.Header.Set(name, v)
	}
	resp, err := k.client.Do(req)
	if err == nil {
		t.Status = resp.StatusCode
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		t.Answer, t.Whole = string(text), readErr == nil
		err = readErr
	}
	var dial *net.OpError
	t.Cut = err != nil && !(errors.As(err, &dial) && dial.Op == "dial")
	t.Ended = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tries = append(k.tries, t)
	return t
}

// program runs turns with a tool call after each, at least the number given and
// until the channel is closed; then two turns in parallel from the last one, as
// sub-agents do. It tries on until each turn was answered.
func (k *caller) program(n, turns int, until <-chan struct{}) {
	name := fmt.Sprintf("p%d", n)
	previous := ""
	for i := 0; i < turns || !closed(until); i++ {
		previous = k.turn(name, n+i, previous, fmt.Sprintf("%s-in%d;", name, i), budget)
		if previous == "" {
			return
		}
		k.send(name, "/order/", "order", n+i, nil)
		time.Sleep(turnPause)
	}
	var fork sync.WaitGroup
	for i := range 2 {
		fork.Go(func() { k.turn(name, n+i, previous, fmt.Sprintf("%s-fork%d;", name, i), budget) })
	}
	fork.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finished++
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// loop starts turns in parallel, through different hosts, until the budget is
// spent.
func (k *caller) loop(n int) {
	name := fmt.Sprintf("loop%d", n)
	for range tries {
		var fork sync.WaitGroup
		answered := make(chan string, loopWidth)
		for i := range loopWidth {
			fork.Go(func() {
				if id := k.turn(name, n+i, "", fmt.Sprintf("%s-in0;", name), loopBudget); id != "" {
					answered <- id
				}
			})
		}
		fork.Wait()
		if len(answered) == 0 {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finished++
}

// turn sends a turn until it is answered whole, and returns its id, or nothing
// once the budget is spent.
func (k *caller) turn(program string, at int, previous, input string, budget int) string {
	for i := range tries {
		t := k.send(program, "/turn/", input, at+i, map[string]string{
			ownheaders.Previous: previous, ownheaders.Budget: strconv.Itoa(budget), ownheaders.MaxTokens: strconv.Itoa(maxTokens),
		})
		switch {
		case t.Status == http.StatusOK && t.Whole:
			return t.ID
		case t.Status == http.StatusPaymentRequired:
			return ""
		case t.Status == http.StatusNotFound:
			k.mu.Lock()
			k.failures = append(k.failures, fmt.Sprintf("%s: turn %s after %s: 404", program, t.ID, previous))
			k.mu.Unlock()
			return ""
		}
		time.Sleep(250 * time.Millisecond)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failures = append(k.failures, fmt.Sprintf("%s: no answer to %q after %d tries", program, input, tries))
	return ""
}
