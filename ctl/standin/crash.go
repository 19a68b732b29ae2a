package standin

import (
	"net/http"
	"strings"
	"time"
)

// maxEventsBeforeCrash bounds the events of a stream that a crashing engine sends before it crashes.
const maxEventsBeforeCrash = 3

// crashTrigger says under which requests an engine crashes.
type crashTrigger struct {
	// marker is in the body of these requests; empty for none.
	marker string
	// onCrash ends the engine's process.
	onCrash func()
	crashed bool
}

func (c *crashTrigger) matches(body string) bool {
	return c.marker != "" && strings.Contains(body, c.marker)
}

// CrashUnder makes the engine crash when it runs a request whose body contains marker: before a plain
// answer, or within a stream. It then calls onCrash once, which closes the engine's connections and
// listener. It is called before the engine serves.
func (e *TurnEngine) CrashUnder(marker string, onCrash func()) {
	e.crash.marker, e.crash.onCrash = marker, onCrash
}

// Crash ends the engine with all requests that it runs, as if one of them had made it crash.
func (e *TurnEngine) Crash() {
	e.mu.Lock()
	if e.crash.crashed {
		e.mu.Unlock()
		return
	}
	e.crash.crashed = true
	for index := range e.active {
		e.runs[index].CrashedAt = time.Now()
	}
	e.mu.Unlock()
	e.crash.onCrash()
}

// crashingWriter is the answer to a request under which the engine crashes.
type crashingWriter struct {
	http.ResponseWriter
	engine *TurnEngine
	// remaining is the number of events that are still sent.
	remaining int
}

// Write crashes the engine once the remaining events are sent.
func (w *crashingWriter) Write(b []byte) (int, error) {
	if w.remaining == 0 || w.Header().Get("Content-Type") != "text/event-stream" {
		w.engine.Crash()
		panic(http.ErrAbortHandler)
	}
	w.remaining--
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController flush the events that are sent.
func (w *crashingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
