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
	// attemptTimeout is the time for which a caller waits for one attempt.
	attemptTimeout = 5 * time.Second
	// maxAttempts bounds how often a caller sends a turn.
	maxAttempts = 60
	// turnInterval is the time that a program spends on its own work between turns.
	turnInterval = 200 * time.Millisecond
	// parallelLoopTurns is the number of turns that a looping program runs at once.
	parallelLoopTurns = 5
)

// attempt is one request of a caller and its result.
type attempt struct {
	ID, Program, Path, Body string
	// Customer is the customer whose key the request presents.
	Customer        string
	EntryHost       string
	SentAt, EndedAt time.Time
	Status          int
	Answer          string
	// Complete is set if the answer was read to its end without an error.
	Complete bool
	// Interrupted is set if the request failed for another reason than a failed dial.
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

// send sends one request to an entry host and records the attempt.
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

// runProgram runs turns with a tool call after each: at least minTurns, and further ones until
// stop is closed. Then it runs two turns in parallel that continue the last one, as sub-agents
// do. Each turn is retried until it is answered.
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

// runLoopingProgram runs turns in parallel, through different hosts, until the budget is spent.
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

// runTurn sends a turn until its answer is complete and returns its ID. It returns "" if the
// budget is spent, and also, after recording a failure, if an earlier turn is not found or
// after maxAttempts.
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
			k.failures = append(k.failures, fmt.Sprintf("%s: turn %s with previous turn %s: status 404", program, a.ID, previous))
			k.mu.Unlock()
			return ""
		}
		time.Sleep(250 * time.Millisecond)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failures = append(k.failures, fmt.Sprintf("%s: no complete answer to %q after %d attempts", program, input, maxAttempts))
	return ""
}
