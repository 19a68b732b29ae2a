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
	callerIP = "10.9.0.9"
	// turnPatience is how long a caller waits for one attempt.
	attemptTimeout = 5 * time.Second
	// tries is how often a caller sends a turn in all.
	maxAttempts = 60
	// turnPause is the time of a program's own between turns.
	turnInterval = 200 * time.Millisecond
	// loopWidth is how many turns a program that never ends runs at once.
	parallelLoopTurns = 5
)

// try is one attempt of a caller and what it got.
type attempt struct {
	ID, Program, Path, Body string
	// Customer is whose key it shows.
	Customer        string
	EntryHost       string
	SentAt, EndedAt time.Time
	Status          int
	Answer          string
	// Whole is set if the answer came to its proper end.
	Complete bool
	// Cut is set if the connection broke after the request was sent.
	Interrupted bool
}

// caller runs programs and records every attempt.
type caller struct {
	cluster *cluster
	client  *http.Client

	mu               sync.Mutex
	attempts         []attempt
	finishedPrograms int
	nextID           int
	failures         []string
}

func newCaller(c *cluster) *caller {
	dial := vnet.Dialer{Net: c.net, From: callerIP}.DialContext
	return &caller{cluster: c, client: &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: time.Second}}}
}

func (k *caller) newRequestID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	return "r" + strconv.Itoa(k.nextID)
}

// send makes one attempt at an entry host.
func (k *caller) send(program, path, body string, entryIndex int, headers map[string]string) attempt {
	e := k.cluster.entryHostAt(entryIndex)
	a := attempt{Customer: strings.TrimSuffix(headers[ownheaders.Key], "-key"), ID: k.newRequestID(), Program: program, Path: path, Body: body, EntryHost: e.name, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.ip+":80"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "x"
	req.Header.Set(ownheaders.ID, a.ID)
	req.Header.Set(ownheaders.Program, program)
	req.Header.Set(ownheaders.Timeout, strconv.FormatInt(attemptTimeout.Milliseconds(), 10))
	for name, v := range headers {
		req.Header.Set(name, v)
	}
	resp, err := k.client.Do(req)
	if err == nil {
		a.Status = resp.StatusCode
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Answer, a.Complete = string(text), readErr == nil
		err = readErr
	}
	var opErr *net.OpError
	a.Interrupted = err != nil && !(errors.As(err, &opErr) && opErr.Op == "dial")
	a.EndedAt = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts = append(k.attempts, a)
	return a
}

// program runs turns with a tool call after each, at least the number given and
// until the channel is closed; then two turns in parallel from the last one, as
// sub-agents do. It tries on until each turn was answered.
func (k *caller) runProgram(n, minTurns int, stop <-chan struct{}) {
	name := fmt.Sprintf("p%d", n)
	previous := ""
	for i := 0; i < minTurns || !isClosed(stop); i++ {
		previous = k.runTurn(name, n+i, previous, fmt.Sprintf("%s-in%d;", name, i), budget)
		if previous == "" {
			return
		}
		k.send(name, "/order/", "order", n+i, nil)
		time.Sleep(turnInterval)
	}
	var forks sync.WaitGroup
	for i := range 2 {
		forks.Go(func() { k.runTurn(name, n+i, previous, fmt.Sprintf("%s-fork%d;", name, i), budget) })
	}
	forks.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finishedPrograms++
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// loop starts turns in parallel, through different hosts, until the budget is
// spent.
func (k *caller) runLoopingProgram(n int) {
	name := fmt.Sprintf("loop%d", n)
	for range maxAttempts {
		var forks sync.WaitGroup
		turnIDs := make(chan string, parallelLoopTurns)
		for i := range parallelLoopTurns {
			forks.Go(func() {
				if id := k.runTurn(name, n+i, "", fmt.Sprintf("%s-in0;", name), loopBudget); id != "" {
					turnIDs <- id
				}
			})
		}
		forks.Wait()
		if len(turnIDs) == 0 {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finishedPrograms++
}

// turn sends a turn until it is answered whole, and returns its id, or nothing
// once the budget is spent.
func (k *caller) runTurn(program string, entryIndex int, previous, input string, budget int) string {
	for i := range maxAttempts {
		a := k.send(program, "/turn/", input, entryIndex+i, map[string]string{
			ownheaders.Previous: previous, ownheaders.Budget: strconv.Itoa(budget), ownheaders.MaxTokens: strconv.Itoa(maxTokens),
		})
		switch {
		case a.Status == http.StatusOK && a.Complete:
			return a.ID
		case a.Status == http.StatusPaymentRequired:
			return ""
		case a.Status == http.StatusNotFound:
			k.mu.Lock()
			k.failures = append(k.failures, fmt.Sprintf("%s: turn %s after %s: 404", program, a.ID, previous))
			k.mu.Unlock()
			return ""
		}
		time.Sleep(250 * time.Millisecond)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failures = append(k.failures, fmt.Sprintf("%s: no answer to %q after %d tries", program, input, maxAttempts))
	return ""
}
