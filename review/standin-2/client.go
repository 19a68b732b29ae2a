package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// oneWay returns a client that opens a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

func isReady(address string) bool {
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + address + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newID returns an id as clients choose them.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// turn is one client attempt at a turn of a program.
type turn struct {
	id, program, previous string
	budget, maxTokens     int
	input                 string
	deadline              time.Duration
}

// result is what the client has seen of an attempt. whole is set if the stream ended as complete,
// signed if the answer has an engine's signature.
type result struct {
	status     int
	events     int
	whole      bool
	signed     bool
	retryAfter time.Duration
	err        error
}

func (r result) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.status == http.StatusOK && r.whole:
		return fmt.Sprintf("200, %d events, whole", r.events)
	case r.status == http.StatusOK:
		return fmt.Sprintf("200, %d events, broken off", r.events)
	}
	return strconv.Itoa(r.status)
}

// send sends a turn to the entry host at address and reads the answer to its end.
func (t turn) send(address, hostName, path string, record *record) result {
	ctx, cancel := context.WithTimeout(context.Background(), t.deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(t.input))
	req.Host = hostName
	h := req.Header
	h.Set("X-Pistachioarch-Attempt-Id", t.id)
	h.Set("X-Pistachioarch-Program-Id", t.program)
	h.Set("X-Pistachioarch-Session-Id", t.program+"s")
	h.Set("X-Pistachioarch-Program-Deadline-Ms", "20000")
	h.Set("X-Pistachioarch-Token-Budget", strconv.Itoa(t.budget))
	h.Set("X-Pistachioarch-Token-Count", fmt.Sprintf("%d,%d", len(t.input), t.maxTokens))
	h.Set("X-Pistachioarch-Model", "m")
	h.Set("X-Pistachioarch-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:%d", t.program, len(t.input)))
	h.Set("X-Pistachioarch-Deadline-Ms", strconv.FormatInt(t.deadline.Milliseconds(), 10))
	if t.previous != "" {
		h.Set("X-Pistachioarch-Previous-Turn", t.previous)
	}
	record.printf("turn %s of program %s, after %q, sent to %s", t.id, t.program, t.previous, address)
	r := read(req)
	record.printf("turn %s of program %s answered: %s", t.id, t.program, r)
	return r
}

func read(req *http.Request) (r result) {
	client := newClient()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	r.status, r.signed = resp.StatusCode, resp.Header.Get("X-Pistachioarch-Response-Signature") != ""
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			r.events++
		}
		if err != nil {
			r.whole = err == io.EOF
			return r
		}
	}
}

// sendRetrying sends a turn as a program does: an attempt that got a 503 or no whole answer is
// repeated as a new attempt, a few times. A status 400, 401, 402, 403, 404, 410 or 413 is final.
func (t turn) sendRetrying(pick func() string, hostName, path string, record *record, tries int) (turn, result) {
	for n := 1; ; n++ {
		t.id = newID()
		r := t.send(pick(), hostName, path, record)
		final := r.status == http.StatusOK && r.whole || r.status >= 400 && r.status < 500 && r.status != 429
		if final || n == tries {
			return t, r
		}
		time.Sleep(max(r.retryAfter, 100*time.Millisecond))
	}
}
