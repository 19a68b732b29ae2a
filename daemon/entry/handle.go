package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

// exchange is one caller's request and what became of it.
type exchange struct {
	host  *Host
	w     http.ResponseWriter
	r     *http.Request
	call  request.Call
	table *routing.Table
	route *routing.Route
	// customer is whose key the caller showed, nil where none is needed.
	customer *routing.Customer
	// customerVersion is of the configuration that customer is from.
	customerVersion uint64
	engine          *routing.Engine // nil for plain services
	began           time.Time
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	body     []byte
	// held is what the host holds for the request.
	held *requestMemory
	// late is set when the caller did not send its body in time: its connection ends, but
	// takes an answer before.
	late bool
	// service is drawn once: a retry goes to the same one.
	service string
	tried   map[string]bool
	sends   int
	room    room
	// answered is set once the head of an answer went to the caller, at firstByte.
	answered  bool
	firstByte time.Time
	turn      *turn
	// underWay reports that the program has had an answer before.
	underWay bool
	target   string
	// born is of the start of target to which the request went.
	born int64
	// sent is when the request went to target, load the target's by then, in places, and
	// missing the part of the prompt that it had to read. firstSent is of the first of two
	// sends side by side.
	sent, firstSent time.Time
	load            float64
	missing         int64
}

// retryLater is when a caller that was refused may come back: time for a target
// to finish a request or a history host to be replaced as reader.
const retryLater = 100 * time.Millisecond

// ServeHTTP implements http.Handler.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{host: h, w: w, r: r, began: time.Now(), tried: map[string]bool{}}
	if !h.Ready() {
		// The caller's next connection goes to a host that is ready.
		w.Header().Set("Connection", "close")
	}
	x.boundUpload()
	var ok bool
	if x.held, ok = h.memory.admit(r); !ok {
		x.fail(failure.Retry(failure.Overloaded, retryLater, "the host holds %d requests", h.activeRequests()))
		return
	}
	defer x.held.closeAccount(r)
	if err := x.serve(); err != nil {
		x.fail(failure.From(err))
		return
	}
	x.logAnswer()
}

// logAnswer says how a request that was answered by a target went.
func (x *exchange) logAnswer() {
	first, events := time.Duration(0), int64(0)
	m := x.host.Meter
	m.Count("requests", "answered")
	m.Observe("request", time.Since(x.began))
	if x.turn != nil {
		events = x.turn.events
	}
	if !x.firstByte.IsZero() {
		first = x.firstByte.Sub(x.began)
		m.Observe("first_event", first)
	}
	x.host.Log.Info("request answered", "request", x.call.ID, "program", x.call.Program, "target", x.target, "sends", x.sends,
		"first_ms", first.Milliseconds(), "after_ms", time.Since(x.began).Milliseconds(), "events", events)
}

func (x *exchange) serve() error {
	if err := x.accept(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, context.DeadlineExceeded)
	defer cancel()
	x.awaitConfirmation(ctx)
	if err := x.authorise(); err != nil {
		return err
	}
	if x.isTurn() {
		return x.serveTurn(ctx)
	}
	if err := x.withinQuota(ctx); err != nil {
		return err
	}
	return x.forward(ctx)
}

// accept decodes the request, finds its route and reads its body.
func (x *exchange) accept() error {
	x.table = x.host.table.Load()
	if x.table == nil {
		return failure.Retry(failure.NoConfiguration, retryLater, "no configuration yet")
	}
	var err error
	if x.call, err = x.host.Headers.Call(x.r.Header); err != nil {
		return err
	}
	x.held.setRequestID(x.call.ID)
	route, ok := x.table.Match(x.r.Host, x.r.URL.Path)
	if !ok {
		return failure.New(failure.NoRoute, "no route for %s%s in version %d", x.r.Host, x.r.URL.Path, x.table.Version)
	}
	x.route = route
	if x.host.staleFor() == 0 {
		if err := x.authorise(); err != nil {
			return err
		}
	}
	x.service = route.Choose(x.draw())
	if s, ok := x.table.Service(x.service); ok {
		x.engine = s.Engine
	}
	x.deadline = x.began.Add(patience(x.call.Timeout, route.Timeout))
	return x.readBody()
}

// longest bounds a request for which neither the caller nor the route says how
// long it may take.
const longest = 60 * time.Second

// patience is the smaller of the two times that are given.
func patience(caller, route time.Duration) time.Duration {
	limit := longest
	if caller > 0 {
		limit = min(limit, caller)
	}
	if route > 0 {
		limit = min(limit, route)
	}
	return limit
}

// fail gives the caller the final answer at once.
func (x *exchange) fail(f *failure.Failure) {
	status := statusOf(f)
	x.host.Meter.Count("requests", "failed", string(f.Kind))
	x.host.Log.Info("request failed",
		"request", x.call.ID, "program", x.call.Program, "customer", x.customerName(), "kind", string(f.Kind), "ran", string(f.Ran), "status", status,
		"sends", x.sends, "target", x.target, "after_ms", time.Since(x.began).Milliseconds(), "detail", f.Detail)
	if x.answered {
		// The head is out: only a broken connection tells that the rest is missing.
		panic(http.ErrAbortHandler)
	}
	if f.Kind == failure.CallerGone || x.r.Context().Err() != nil && !x.late {
		panic(http.ErrAbortHandler)
	}
	head := x.w.Header()
	if f.RetryAfter > 0 {
		x.host.Headers.RetryAfter(head, f.RetryAfter)
	}
	x.host.Headers.Echo(head, x.call.ID)
	http.Error(x.w, string(f.Kind), status)
}
