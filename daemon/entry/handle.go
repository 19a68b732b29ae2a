package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

// exchange is one request of a caller and the state of serving it.
type exchange struct {
	host  *Host
	w     http.ResponseWriter
	r     *http.Request
	call  request.Call
	table *routing.Table
	route *routing.Route
	// customer owns the key that the caller presented; nil if no key is required.
	customer *routing.Customer
	// customerVersion is the version of the configuration that customer is from.
	customerVersion uint64
	engine          *routing.Engine // nil for plain services
	startedAt       time.Time
	// deadline is the earlier of the deadlines of caller and route.
	deadline time.Time
	body     []byte
	// fingerprint is the same for all attempts of the request.
	fingerprint string
	// newBrokenRuns are the runs that targets broke off and that are not in brokenRuns yet, which
	// holds those of all attempts as far as they are known.
	newBrokenRuns []brokenRun
	brokenRuns    ledger.BrokenRuns
	// refusals are those of targets that were not full, as long as they are not counted.
	refusals []brokenRun
	// announced are the targets at which runs were announced.
	announced []targetStart
	// generations are the generations of this attempt's runs.
	generations map[targetStart]int32
	// onTrial is set if this attempt is the only one of the request that may run at this host.
	onTrial bool
	// ownWatches are the watches of runs of this attempt.
	ownWatches []*runWatch
	// held accounts for the memory that the host holds for the request.
	held *requestMemory
	// uploadTimedOut is set if the caller did not send its body in time. Its connection is
	// closed, but only after it has received an answer.
	uploadTimedOut bool
	// service is chosen once; retries go to the same service.
	service string
	// tried are the IDs of the targets that were chosen. sendCount is the number of sends,
	// without those that failed before the target could run the request. Both are reset
	// after a capacity wait.
	tried        map[string]bool
	sendCount    int
	capacityWait capacityWait
	// headSent is set once the head of an answer was sent to the caller, at firstByteAt.
	headSent    bool
	firstByteAt time.Time
	// status is that of the target's answer that was passed on.
	status int
	turn   *turn
	// programStarted reports whether an earlier request of the program was answered.
	programStarted bool
	targetID       string
	// targetStartedAtMs identifies the incarnation of the target that got the request.
	targetStartedAtMs int64
	// softwareVersion is the software version of the targets to which the stream may be sent;
	// empty for any. It does not change once it is set.
	softwareVersion string
	// versionPending is set if the first event of the stream determines its software version.
	versionPending bool
	// versionStored is closed once the software version is durable; nil if no event waits for that.
	versionStored <-chan struct{}
	// sentAt is when the request was sent to the target, and firstSentAt the same for the
	// first send of a hedged call. targetLoad is the target's load at that time, as a
	// fraction of its capacity, and uncachedTokens the part of the prompt, in tokens, that
	// was not in its prefix cache.
	sentAt, firstSentAt time.Time
	targetLoad          float64
	uncachedTokens      int64
}

// defaultRetryDelay is the retry delay for refused callers: long enough for a target to
// finish a request, or for a history host to be replaced as reader.
const defaultRetryDelay = 100 * time.Millisecond

// ServeHTTP implements http.Handler.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{host: h, w: w, r: r, startedAt: time.Now(), tried: map[string]bool{}, generations: map[targetStart]int32{}}
	if c := callerConnOf(r); c != nil {
		c.markHeadRead()
	}
	if !h.Ready() {
		// Makes the caller reconnect, to a host that is ready.
		w.Header().Set("Connection", "close")
	}
	x.limitUpload()
	var ok bool
	if x.held, ok = h.memory.admit(r); !ok {
		x.fail(failure.Retry(failure.Overloaded, defaultRetryDelay, "request not admitted, the host holds %d requests", h.activeRequests()))
		return
	}
	defer x.held.closeAccount(r)
	defer x.endTrial()
	if err := x.serve(); err != nil {
		x.fail(failure.From(err))
		return
	}
	x.recordAnswer()
}

// recordAnswer logs and counts a request that a target answered.
func (x *exchange) recordAnswer() {
	firstByteAfter, events := time.Duration(0), int64(0)
	m := x.host.Meter
	m.Count("requests", "answered")
	if x.status < http.StatusInternalServerError {
		x.recordServed()
	}
	m.Observe("request", time.Since(x.startedAt))
	if x.turn != nil {
		events = x.turn.eventCount
	}
	if !x.firstByteAt.IsZero() {
		firstByteAfter = x.firstByteAt.Sub(x.startedAt)
		m.Observe("first_event", firstByteAfter)
	}
	x.host.Log.Info("request answered", "request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program, "target", x.targetID, "sends", x.sendCount,
		"first_ms", firstByteAfter.Milliseconds(), "after_ms", time.Since(x.startedAt).Milliseconds(), "events", events)
}

// recordServed notes that a target answered the request.
func (x *exchange) recordServed() {
	x.forgetBrokenRuns()
	x.recordAnswered()
}

// serve reads, authorises and forwards the request.
func (x *exchange) serve() error {
	if err := x.accept(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, context.DeadlineExceeded)
	defer cancel()
	x.logTakeUp()
	x.awaitConfirmation(ctx)
	if err := x.authorise(); err != nil {
		return err
	}
	if x.isTurn() {
		return x.serveTurn(ctx)
	}
	if err := x.awaitBrokenRuns(ctx); err != nil {
		return err
	}
	if err := x.bindStreamOutsideProgram(ctx); err != nil {
		return err
	}
	if err := x.awaitQuotaToken(ctx); err != nil {
		return err
	}
	return x.forward(ctx)
}

// accept decodes the request, finds its route and reads its body.
func (x *exchange) accept() error {
	x.table = x.host.table.Load()
	if x.table == nil {
		return failure.Retry(failure.NoConfiguration, defaultRetryDelay, "no configuration received yet")
	}
	var err error
	if x.call, err = x.host.Headers.Call(x.r.Header); err != nil {
		return err
	}
	x.held.setRequestID(x.call.ID)
	route, ok := x.table.Match(x.r.Host, x.r.URL.Path)
	if !ok {
		return x.noRouteFailure()
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
	x.deadline = x.startedAt.Add(effectiveTimeout(x.call.Timeout, route.Timeout))
	if err := x.readBody(); err != nil {
		return err
	}
	x.fingerprint = x.call.Fingerprint(x.r.Method, x.r.Host, x.r.RequestURI, x.body)
	return nil
}

// noRouteFailure returns the failure of a request without a route. A host that may not know the newest
// configuration does not deny the route: another attempt may find it.
func (x *exchange) noRouteFailure() error {
	const unknown = "no route for %s%s in configuration version %d"
	switch {
	case x.host.configLost.Load():
		return failure.Retry(failure.NoConfiguration, x.host.staleRetryDelay(0), unknown+", which may not be the newest", x.r.Host, x.r.URL.Path, x.table.Version)
	case x.host.configMayBeOutdated():
		return failure.Retry(failure.NoConfiguration, defaultRetryDelay, unknown+", last confirmed %d ms ago", x.r.Host, x.r.URL.Path, x.table.Version, x.host.confirmedAge().Milliseconds())
	default:
		return failure.New(failure.NoRoute, unknown, x.r.Host, x.r.URL.Path, x.table.Version)
	}
}

// maxRequestTimeout bounds every request, also if neither the caller nor the route sets a
// timeout.
const maxRequestTimeout = 60 * time.Second

// effectiveTimeout returns the smallest of maxRequestTimeout and the given timeouts; a timeout of
// 0 means none.
func effectiveTimeout(callerTimeout, routeTimeout time.Duration) time.Duration {
	timeout := maxRequestTimeout
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout)
	}
	if routeTimeout > 0 {
		timeout = min(timeout, routeTimeout)
	}
	return timeout
}

// fail ends the request: it sends the failure to the caller as the final answer, or breaks
// the connection if an answer has begun or the caller has left.
func (x *exchange) fail(f *failure.Failure) {
	status := statusOf(f)
	x.host.Meter.Count("requests", "failed", string(f.Kind))
	x.host.Log.Info("request failed",
		"request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program, "customer", x.customerName(), "kind", string(f.Kind), "ran", string(f.Ran), "status", status,
		"sends", x.sendCount, "target", x.targetID, "after_ms", time.Since(x.startedAt).Milliseconds(), "detail", f.Detail)
	if x.headSent {
		// The head was sent: only a broken connection shows that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	if f.Kind == failure.CallerGone || x.r.Context().Err() != nil && !x.uploadTimedOut {
		panic(http.ErrAbortHandler)
	}
	head := x.w.Header()
	if f.RetryAfter > 0 {
		x.host.Headers.RetryAfter(head, f.RetryAfter)
	}
	x.host.Headers.Echo(head, x.call.ID)
	http.Error(x.w, string(f.Kind), status)
}
