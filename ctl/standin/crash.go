package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// maxEventsBeforeCrash bounds the events of a stream that a crashing engine sends before it crashes.
const maxEventsBeforeCrash = 3

// CrashWay is how an engine treats a request under which it crashes.
type CrashWay string

// The ways of crashing. The process ends after the request has ended, but for CrashAtOnce.
const (
	// CrashAtOnce ends the process while it runs the request, before a plain answer or within a stream.
	CrashAtOnce CrashWay = ""
	// CrashAfterBreak breaks the connection of the request off at that point.
	CrashAfterBreak CrashWay = "break"
	// CrashAfterError answers with status 500.
	CrashAfterError CrashWay = "error"
	// CrashAfterUnsigned answers with a success that lacks the engine's signature.
	CrashAfterUnsigned CrashWay = "unsigned"
	// CrashAfterSilence gives no answer until the request is cancelled.
	CrashAfterSilence CrashWay = "silence"
	// CrashAfterRefusal answers that the request was not run.
	CrashAfterRefusal CrashWay = "refusal"
	// CrashAfterLeaving breaks the connection of the request off and takes the engine's entry out of the platform's
	// list at once, as a process does that shuts down on an error.
	CrashAfterLeaving CrashWay = "leaving"
)

// crashSeparator is around the fields of a CrashPlan in the body of a request.
const crashSeparator = "|"

// CrashPlan says how engines crash under a request.
type CrashPlan struct {
	Way CrashWay
	// Delay is the time from the end of the request to the crash.
	Delay time.Duration
	// AnswersFirst is the number of runs that engines answer before the first one crashes.
	AnswersFirst int
}

// Body returns the body of a request under which engines with the marker crash as planned.
func (p CrashPlan) Body(marker string) string {
	return strings.Join([]string{marker, string(p.Way), p.Delay.String(), strconv.Itoa(p.AnswersFirst), ""}, crashSeparator)
}

// parseCrashPlan reads the plan of a body that CrashPlan.Body returned, with anything after it. Other bodies
// name none: CrashAtOnce.
func parseCrashPlan(body string) CrashPlan {
	fields := strings.Split(body, crashSeparator)
	if len(fields) < 4 {
		return CrashPlan{}
	}
	delay, err := time.ParseDuration(fields[2])
	if err != nil {
		return CrashPlan{}
	}
	answersFirst, err := strconv.Atoi(fields[3])
	if err != nil {
		return CrashPlan{}
	}
	return CrashPlan{CrashWay(fields[1]), delay, answersFirst}
}

// AnswerCounts counts the runs that engines have answered according to CrashPlan.AnswersFirst, over all engines
// that share it. The zero value is ready to use.
type AnswerCounts struct {
	mu     sync.Mutex
	byBody map[string]int
}

// take counts one more answer to the body, and reports whether it is one of the first n.
func (c *AnswerCounts) take(body string, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byBody[body] >= n {
		return false
	}
	if c.byBody == nil {
		c.byBody = map[string]int{}
	}
	c.byBody[body]++
	return true
}

// crashTrigger says under which requests an engine crashes.
type crashTrigger struct {
	// marker is in the body of these requests; empty for none.
	marker  string
	answers *AnswerCounts
	// onCrash ends the engine's process, onLeave takes its entry out of the platform's list.
	onCrash, onLeave func()
	crashed          bool
	// triggers are the indices in runs of the requests that have ended and under which the engine is about
	// to crash.
	triggers []int
}

func (c *crashTrigger) matches(body string) bool {
	return c.marker != "" && strings.Contains(body, c.marker)
}

// CrashUnder makes the engine crash under a request whose body contains marker, as planned in the body; see
// CrashPlan. It then calls onCrash once, which closes the engine's connections and listener. It is called
// before the engine serves.
func (e *TurnEngine) CrashUnder(marker string, answers *AnswerCounts, onCrash func()) {
	e.crash.marker, e.crash.answers, e.crash.onCrash = marker, answers, onCrash
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
	for _, index := range e.crash.triggers {
		e.runs[index].CrashedAt = time.Now()
	}
	e.mu.Unlock()
	e.crash.onCrash()
}

// LeaveWith sets how the engine takes its entry out of the platform's list; see CrashAfterLeaving. It is called
// before the engine serves.
func (e *TurnEngine) LeaveWith(onLeave func()) { e.crash.onLeave = onLeave }

// HasCrashed reports whether the engine has crashed.
func (e *TurnEngine) HasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crash.crashed
}

// crashLater crashes the engine after a delay under a run that has ended.
func (e *TurnEngine) crashLater(index int, delay time.Duration) {
	e.mu.Lock()
	e.crash.triggers = append(e.crash.triggers, index)
	e.mu.Unlock()
	time.AfterFunc(delay, e.Crash)
}

// serveCrashing serves a request under which the engine crashes. index is that of its run.
func (e *TurnEngine) serveCrashing(w http.ResponseWriter, r *http.Request, index int, body string) {
	plan := parseCrashPlan(body)
	id := r.Header.Get(ownheaders.ID)
	if e.crash.answers.take(body, plan.AnswersFirst) {
		e.answer(w, r, id)
		return
	}
	switch plan.Way {
	case CrashAfterError:
		defer e.crashLater(index, plan.Delay)
		w.WriteHeader(http.StatusInternalServerError)
	case CrashAfterUnsigned:
		defer e.crashLater(index, plan.Delay)
		w.Header().Del(ownheaders.Signature)
		e.answerPlain(w, r, id)
	case CrashAfterRefusal:
		defer e.crashLater(index, plan.Delay)
		w.Header().Del(ownheaders.Signature)
		w.Header().Set(ownheaders.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case CrashAfterSilence:
		defer e.crashLater(index, plan.Delay)
		<-r.Context().Done()
	default:
		e.answer(&crashingWriter{ResponseWriter: w, engine: e, index: index, plan: plan, remaining: len(body) % maxEventsBeforeCrash}, r, id)
	}
}

// crashingWriter is the answer to a request under which the engine crashes or breaks the connection off.
type crashingWriter struct {
	http.ResponseWriter
	engine *TurnEngine
	index  int
	plan   CrashPlan
	// remaining is the number of events that are still sent.
	remaining int
}

// Write ends the run once the remaining events are sent.
func (w *crashingWriter) Write(b []byte) (int, error) {
	if w.remaining == 0 || w.Header().Get("Content-Type") != "text/event-stream" {
		switch w.plan.Way {
		case CrashAfterBreak:
			w.engine.crashLater(w.index, w.plan.Delay)
		case CrashAfterLeaving:
			w.engine.crash.onLeave()
			w.engine.crashLater(w.index, w.plan.Delay)
		default:
			w.engine.Crash()
		}
		panic(http.ErrAbortHandler)
	}
	w.remaining--
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController flush the events that are sent.
func (w *crashingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
