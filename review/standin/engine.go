package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an engine ran.
type run struct {
	engine, id, method, path, body string
	at                             time.Time
}

// engine is a stand-in for a model engine or a plain service: it rejects requests for other engines
// (421) and requests beyond its slots (503, not executed), echoes the id of the request, signs its
// answers, tells its load and registers itself in the store.
type engine struct {
	id, service, zone, address string
	slots                      int
	// work is how long a plain request takes; nil for a model engine.
	work func() time.Duration
	// pieces is the number of events of a stream, pause the time before each.
	pieces int
	pause  time.Duration
	// shortOf is how the ids of programs begin whose streams have the pieces of the small site's mean; empty
	// for none.
	shortOf string
	// spoil says whether the engine sends bytes that are not its response in place of a stream. It may
	// be nil.
	spoil func() bool
	// endless says whether the engine sends bytes that are not a response, until its connection is closed,
	// in place of a plain answer. It may be nil.
	endless func() bool

	// quiet leaves runs out of the record.
	quiet    bool
	rec      *record
	listener net.Listener
	mu       sync.Mutex
	busy     int
	runs     []run
	sequence int
}

func (e *engine) start(ip string, s *store) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e.listener, e.address = l, l.Addr().String()
	go e.heartbeat(s)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return nil
}

// heartbeat writes the engine's entry every 1,200 ms.
func (e *engine) heartbeat(s *store) {
	for {
		e.sequence++
		s.put("servers", e.id, map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
			"state": "ready", "coldRemainingMs": 0, "sequence": e.sequence,
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

// load returns the value of the header that tells the engine's load.
func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", e.busy, e.slots)
}

// serve answers the requests on one connection, one at a time.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // the idle timeout
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		id := r.Header.Get("X-Pistachioarch-Attempt-Id")
		answer, ok := e.answer(c, r, id, string(body))
		if !ok {
			return
		}
		if answer != "" {
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}
}

// answer runs a request. It returns a plain answer; a stream is written by itself.
func (e *engine) answer(c net.Conn, r *http.Request, id, body string) (answer string, ok bool) {
	if r.Header.Get("X-Pistachioarch-Target-Instance") != e.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Pistachioarch-Attempt-Id: " + id + "\r\nX-Pistachioarch-Instance-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n", true
	}
	e.mu.Lock()
	if e.busy >= e.slots {
		e.mu.Unlock()
		e.rec.add("%s: %s rejected, not executed", e.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\nX-Pistachioarch-Attempt-Id: " + id + "\r\nX-Pistachioarch-Not-Executed: 1\r\nX-Pistachioarch-Server-Load: " + e.load() +
			"\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", true
	}
	e.busy++
	e.runs = append(e.runs, run{e.id, id, r.Method, r.URL.Path, body, time.Now()})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.busy--
		e.mu.Unlock()
	}()
	if !e.quiet {
		e.rec.add("%s: %s runs, %d bytes in", e.id, id, len(body))
	}
	if e.work != nil {
		return e.plain(c, id)
	}
	if e.spoil != nil && e.spoil() {
		e.rec.add("%s: sends bytes that are not its response to %s: no id, no signature, no event", e.id, id)
		return notAResponse, true
	}
	return "", e.stream(c, r, id)
}

// notAResponse is what a faulty engine sends. It is well-formed, but no engine answers like this: each echoes
// the id of the request and signs its answer.
const notAResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// plain does the work of a plain request.
func (e *engine) plain(c net.Conn, id string) (string, bool) {
	time.Sleep(e.work())
	if e.endless != nil && e.endless() {
		e.rec.add("%s: sends bytes that are not a response to %s", e.id, id)
		sendGarbage(c)
		return "", false
	}
	content := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pistachioarch-Attempt-Id: %s\r\nX-Pistachioarch-Response-Signature: s.%s.%s\r\nX-Pistachioarch-Server-Load: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		id, e.id, id, e.load(), len(content), content), true
}

const (
	garbageBytes = 64 << 10
	// garbagePause keeps the rate below the link of an entry host of the small site, 1,000 Mbit/s.
	garbagePause = 600 * time.Microsecond
)

// sendGarbage sends bytes until the connection is closed.
func sendGarbage(c net.Conn) {
	block := strings.Repeat("x", garbageBytes)
	for {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
		time.Sleep(garbagePause)
	}
}

// stream writes the events of a run, from the one after Last-Event-Id on.
func (e *engine) stream(c net.Conn, r *http.Request, id string) bool {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pistachioarch-Attempt-Id: %s\r\nX-Pistachioarch-Response-Signature: s.%s.%s\r\nX-Pistachioarch-Server-Load: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, e.id, id, e.load())
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	count := e.pieces
	if e.shortOf != "" && strings.HasPrefix(r.Header.Get("X-Pistachioarch-Program-Id"), e.shortOf) {
		count = pieces
	}
	for i := last + 1; i <= count; i++ {
		time.Sleep(e.pause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, pieceOf(id, i))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// pieceOf is the data of an event.
func pieceOf(id string, i int) string { return fmt.Sprintf("%s.%d", id, i) }

// output is what a turn adds to the bodies of the turns after it.
func output(id string, pieces int) string {
	var b strings.Builder
	for i := 1; i <= pieces; i++ {
		b.WriteString(pieceOf(id, i) + "\n")
	}
	return b.String()
}

// allRuns returns the runs of several engines.
func allRuns(engines []*engine) []run {
	var list []run
	for _, e := range engines {
		e.mu.Lock()
		list = append(list, e.runs...)
		e.mu.Unlock()
	}
	return list
}

// newID draws an id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
