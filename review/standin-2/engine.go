package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a model engine: it answers each turn with a stream of whole events.
type engine struct {
	id, address string
	events      int
	gap         time.Duration
	record      *record
	// Every garble-th answer is spoiled; 0 for none. turns counts the answers.
	garble atomic.Int64
	turns  atomic.Int64

	mu     sync.Mutex
	active int
}

func startEngine(id, address string, events int, gap time.Duration, record *record) (*engine, error) {
	e := &engine{id: id, events: events, gap: gap, record: record}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	go func() { _ = http.Serve(l, e) }()
	return e, nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Pistachioarch-Attempt-Id")
	w.Header().Set("X-Pistachioarch-Instance-Id", e.id)
	switch {
	case r.URL.Path == "/healthz":
		return
	case r.URL.Path == "/-/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"phase":"dual","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":246638,"handles":0}`)
		return
	case id == "":
		w.Header().Set("X-Pistachioarch-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Pistachioarch-Attempt-Id", id)
	if target := r.Header.Get("X-Pistachioarch-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("X-Pistachioarch-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.active++
	load := strconv.Itoa(e.active) + ",0,16"
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	e.record.printf("engine %s runs %s, body of %d bytes", e.id, id, len(body))
	w.Header().Set("X-Pistachioarch-Server-Load", load)
	w.Header().Set("X-Pistachioarch-Weight-Versions", "1")
	signature := "X-Pistachioarch-Response-Signature"
	if n, every := e.turns.Add(1), e.garble.Load(); every > 0 && n%every == 0 {
		// A spoiled answer: one wrong byte, the last one of the name of this line.
		signature = "X-Pistachioarch-Response-Signaturf"
		e.record.printf("engine %s spoils its answer to %s", e.id, id)
	}
	w.Header().Set(signature, "s."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= e.events; i++ {
		select {
		case <-time.After(e.gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 12)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
