package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net/http"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// Idle times after which a kept connection is not reused, however long its target
// keeps it.
const (
	maxIdle = 10 * time.Second
	// maxIdleFarOnce is for requests that must not be repeated, to another data
	// centre that has been silent for farSilence: where the link was cut meanwhile, a
	// new connection fails before anything is sent, a kept one takes the request with
	// it. While the data centre is heard, it would only cost connections.
	maxIdleFarOnce = 500 * time.Millisecond
	// farSilence is many usual pauses between answers from another data centre.
	farSilence = 200 * time.Millisecond
)

// leastLeft is the least time that a target is told to have left: less would read as no limit.
const leastLeft = time.Millisecond

// leastUrgent is the last rank that targets know.
const leastUrgent = 9

// hopByHop are the headers that concern only one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// draw is a number in [0, 1) from the request's id: all attempts at one split
// spread evenly without a random source.
func (x *exchange) draw() float64 {
	f := fnv.New32a()
	f.Write([]byte(x.call.ID))
	return float64(f.Sum32()) / (1 << 32)
}

// forward sends the request to targets until one answers or no more may be tried.
func (x *exchange) forward(ctx context.Context) error {
	var worst error
	for {
		t, err := x.pick()
		if err != nil {
			worst = worse(worst, err)
			if x.awaitRoom(ctx, worst) {
				continue
			}
			return worst
		}
		again, err := x.try(ctx, t)
		if err == nil {
			return nil
		}
		worst = worse(worst, err)
		if !again || ctx.Err() != nil {
			return worst
		}
		x.host.Meter.Count("sends", "repeated", string(failure.From(err).Kind))
		x.host.Log.Info("request sent again", "request", x.call.ID, "target", t.ID, "sends", x.sends, "error", err.Error())
		if x.sends >= x.route.MaxAttempts && !x.awaitRoom(ctx, worst) {
			return worst
		}
	}
}

// worse is the later failure, unless the earlier one says that the request may
// have run and the later one does not.
func worse(earlier, later error) error {
	if earlier != nil && failure.From(earlier).Ran != failure.RanNo && failure.From(later).Ran == failure.RanNo {
		return earlier
	}
	return later
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == routing.Idempotent || x.route.Resumable
}

// pick chooses the next target, or turns the request away.
func (x *exchange) pick() (balance.TargetInfo, error) {
	if err := x.authorise(); err != nil {
		return balance.TargetInfo{}, err
	}
	h := x.host
	h.mu.Lock()
	v := h.dispatch.Decide(dispatch.Request{
		Query: balance.Query{
			Service: x.service, WorkKind: x.route.Name, Parts: x.call.Prefix, PromptTokens: x.call.PromptTokens, Exclude: x.tried, Allowed: x.room.only(), DataCentres: x.dataCentres(),
		},
		ProgramStarted: !x.begins() || x.sends > 0, Draw: x.draw(),
	}, h.now())
	if v.Action != dispatch.Send {
		size := h.registry.Size()
		h.mu.Unlock()
		return balance.TargetInfo{}, x.unsent(v, size)
	}
	c := v.Choice
	listed := c.TargetInfo
	c.RecordSend(x.call.Prefix, h.now())
	h.mu.Unlock()
	x.tried[listed.ID] = true
	x.target, x.born, x.load, x.missing = listed.ID, listed.StartedAtMs, float64(c.Load)/float64(max(1, c.Capacity)), c.UncachedTokens
	h.Meter.Count("sends", x.sort(), x.distance(listed))
	h.Log.Info("request routed", "request", x.call.ID, "program", x.call.Program, "customer", x.customerName(), "route", x.route.Name, "config", x.table.Version,
		"target", listed.ID, "data_centre", listed.DataCentre, "load", c.Load, "places", c.Capacity, "report_age_ms", c.ReportAge.Milliseconds(),
		"slowdown", hundredths(c.Slowdown), "predicted_ms", c.Predicted.Milliseconds(), "near", c.NearTarget, "near_predicted_ms", c.NearPredicted.Milliseconds(),
		"prompt", x.call.PromptTokens, "missing", c.UncachedTokens, "candidates", c.Candidates, "send", x.sends+1,
		"left_ms", time.Until(x.deadline).Milliseconds(), "program_left_ms", x.programLeft().Milliseconds(), "after_ms", time.Since(x.began).Milliseconds())
	return listed, nil
}

// hundredths rounds a figure for the log.
func hundredths(v float64) float64 { return math.Round(100*v) / 100 }

// sort names the targets of the request in metrics.
func (x *exchange) sort() string {
	if x.call.PromptTokens > 0 {
		return "engine"
	}
	return "plain"
}

// distance names the way to a target in metrics.
func (x *exchange) distance(t balance.TargetInfo) string {
	if t.DataCentre == x.host.DataCentre {
		return "near"
	}
	return "far"
}

// programLeft is the time that the program has left by now, below zero if it is late; zero
// if its caller does not say.
func (x *exchange) programLeft() time.Duration {
	if x.call.ProgramTimeout == 0 {
		return 0
	}
	return x.call.ProgramTimeout - time.Since(x.began)
}

// unsent is the failure of a request that goes to no target.
func (x *exchange) unsent(v dispatch.Decision, targets int) error {
	if v.Action == dispatch.NoTarget {
		return failure.Retry(failure.NoTarget, retryLater, "no target of %s among %d", x.service, targets)
	}
	x.host.Meter.Count("turned_away", "full")
	x.host.Log.Info("program turned away", "request", x.call.ID, "program", x.call.Program, "service", x.service,
		"load_percent", int(100*v.Load), "come_back_ms", v.RetryDelay.Milliseconds(), "program_left_ms", x.call.ProgramTimeout.Milliseconds())
	return failure.Retry(failure.Overloaded, v.RetryDelay, "the engines of %s have a queue, load %.2f", x.service, v.Load)
}

// hasOther reports whether there is a target that has not been tried.
func (x *exchange) hasOther() bool {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.registry.Pick(balance.Query{Service: x.service, Exclude: x.tried, DataCentres: x.dataCentres()}, h.now())
	return ok
}

// done reports the end of a send to the registry.
func (x *exchange) done(target string, o balance.Outcome) {
	x.host.ended(balance.TargetInfo{ID: target, StartedAtMs: x.born}, o)
}

// ended reports the end of a send to the start of a target.
func (h *Host) ended(t balance.TargetInfo, o balance.Outcome) {
	h.Meter.Count("sends", o.String())
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.registry.TargetIncarnation(t.ID, t.StartedAtMs); ok {
		t.RecordOutcome(o, h.now())
	}
}

// took tells the registry how long the target took for a request to a plain service.
func (x *exchange) took(d time.Duration) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.registry.TargetIncarnation(x.target, x.born); !ok {
		return
	}
	h.registry.RecordDuration(x.target, x.route.Name, d, h.now())
	h.hedger.RecordAnswer(x.service, x.route.Name, time.Since(x.firstSent))
}

// firstEvent tells the registry how long the target took for the first event of a stream.
func (x *exchange) firstEvent(d time.Duration) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.registry.TargetIncarnation(x.target, x.born); ok {
		h.registry.RecordFirstEvent(x.target, x.load, x.missing, d, h.now())
	}
}

// streamed tells the registry how long the target took for one event.
func (x *exchange) streamed(d time.Duration) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.registry.TargetIncarnation(x.target, x.born); !ok {
		return
	}
	h.registry.RecordEvent(x.target, x.load, d, h.now())
}

// heard takes the load that a target tells at the head of its answer. At the end of
// a stream the word would be old.
func (h *Host) heard(t balance.TargetInfo, a request.Answer) {
	h.reachability.recordHeard(t.ID)
	if !a.HasLoad {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.registry.TargetIncarnation(t.ID, t.StartedAtMs); ok {
		t.RecordLoadReport(a.Load, h.now())
	}
}

// try sends the request to one target and passes its answer on. again reports
// that another target may be tried.
func (x *exchange) try(ctx context.Context, t balance.TargetInfo) (again bool, err error) {
	if delay, twice := x.hedgeDelay(); twice {
		return x.tryTwice(ctx, t, delay)
	}
	guarded, release := x.host.reachability.guard(ctx, t)
	defer release()
	resp, err := x.send(guarded, t, x.call.LastEventID)
	if err != nil {
		return x.unanswered(ctx, t, err)
	}
	x.sends++
	defer resp.Body.Close()
	if resp.Answer.NotRun {
		return x.putBack(t, resp)
	}
	if x.route.Kind == routing.Streaming && resp.Status == http.StatusOK {
		return x.stream(ctx, t, resp)
	}
	body, err := x.readAnswer(ctx, resp)
	return x.plain(ctx, t, resp, body, err)
}

// unanswered ends a send to which no answer began.
func (x *exchange) unanswered(ctx context.Context, t balance.TargetInfo, err error) (again bool, _ error) {
	f := failure.From(err)
	x.done(t.ID, outcomeOf(ctx, f))
	if f.Ran != failure.RanNo {
		x.sends++
	}
	return f.Ran == failure.RanNo || x.repeatable(), err
}

// putBack ends a send that its target did not run.
func (x *exchange) putBack(t balance.TargetInfo, resp *targetpool.Response) (again bool, _ error) {
	x.done(t.ID, refusal(resp.Answer))
	if !resp.Answer.Misdirected {
		x.room.refused(t.ID)
	}
	return true, failure.Retry(failure.TargetFull, retryLater, "target %s refused with %d", t.ID, resp.Status)
}

// send sends the request to one target; a connection that cannot be made starts
// probes of it.
func (x *exchange) send(ctx context.Context, t balance.TargetInfo, lastEvent string) (*targetpool.Response, error) {
	x.sent = time.Now()
	x.firstSent = x.sent
	return x.host.ask(ctx, t, x.outgoing(t, lastEvent))
}

// ask sends a request to a target, and takes what its answer says of it.
func (h *Host) ask(ctx context.Context, t balance.TargetInfo, out *targetpool.Request) (*targetpool.Response, error) {
	sent := time.Now()
	resp, err := h.pool.Do(ctx, out, h.decode)
	switch {
	case err == nil:
		h.Meter.Observe("target_head", time.Since(sent))
		h.heard(t, resp.Answer)
	case failure.From(err).Ran == failure.RanNo && ctx.Err() == nil:
		h.reachability.startProbing(t.ID, t.Address)
	}
	return resp, err
}

func refusal(a request.Answer) balance.Outcome {
	if a.Misdirected {
		return balance.Failed
	}
	return balance.Refused
}

// endedBy is the kind of a failure under a context: what ended the context, where
// it has ended. A caller that left says nothing of the target, a timeout does.
func endedBy(ctx context.Context, kind failure.Kind) failure.Kind {
	switch {
	case ctx.Err() == nil:
		return kind
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return failure.Timeout
	default:
		return failure.CallerGone
	}
}

func outcomeOf(ctx context.Context, f *failure.Failure) balance.Outcome {
	if endedBy(ctx, f.Kind) == failure.CallerGone {
		return balance.Abandoned
	}
	return balance.Failed
}

func (h *Host) decode(status int, header map[string][]string) request.Answer {
	return h.Headers.Answer(status, header)
}

// outgoing builds the request to a target.
func (x *exchange) outgoing(t balance.TargetInfo, lastEvent string) *targetpool.Request {
	header := x.host.Headers.Outgoing(x.r.Header, request.SendOptions{
		Instance: t.ID, Timeout: max(leastLeft, time.Until(x.deadline)), LastEventID: lastEvent,
		Priority: min(leastUrgent, x.priority()), HasPriority: x.engine != nil,
		HideKey: x.host.table.Load().RequiresKey(), Customer: x.customerName(),
	})
	stripHop(header)
	idle := maxIdle
	once := x.route.Kind != routing.Idempotent
	far := t.DataCentre != x.host.DataCentre
	if once && far && !x.host.heardFrom(t.DataCentre, farSilence) {
		idle = maxIdleFarOnce
	}
	return &targetpool.Request{
		Address: t.Address, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, ID: x.call.ID, MaxIdle: idle,
		Bytes: x.host.targetBytes.of(x.isTurn(), far),
	}
}

// stripHop removes the headers that concern only one connection.
func stripHop(header http.Header) {
	for _, name := range connectionOptions(header) {
		header.Del(name)
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
