package player

import (
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/hedge"
	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// defaultRetryDelay is the retry delay of a caller whose request no target accepted.
const defaultRetryDelay = 100 * time.Millisecond

// host is one entry host: the routing code of the role, and a model of its connections.
type host struct {
	sim          *simulation
	dataCentre   string
	running      bool // takes requests of callers
	registry     *balance.Registry
	dispatcher   *dispatch.Dispatcher
	hedger       *hedge.Hedger
	idleConns    map[string][]time.Duration // by target ID, since when each connection is idle
	openAttempts []*attempt                 // in the order of sending, so that runs are reproducible
	reporter     *loads.Reporter
}

// outcome is the answer that a caller gets to one request; the zero value is a failure.
type outcome struct {
	ok bool
	// notRun is true if the host rejected the request: it has not run, and may be sent again
	// after retryDelay.
	notRun     bool
	retryDelay time.Duration
}

// attempt is one send of a turn to a target.
type attempt struct {
	targetID       string
	load           float64 // in-flight requests of the target at sentAt, over its capacity
	sentAt         time.Duration
	uncachedTokens int64 // of the prompt, at the target
	lastEventAt    time.Duration
	cancel         func()
	fail           func() // ends the turn with a failure
}

func newHost(sim *simulation, dataCentre string) *host {
	h := &host{sim: sim, dataCentre: dataCentre}
	h.start()
	return h
}

// start starts the host with an empty state.
func (h *host) start() {
	h.running = true
	h.registry = balance.NewRegistry(h.dataCentre, h.sim.policy.Weights)
	h.hedger = hedge.New()
	h.dispatcher = dispatch.New(h.registry, h.sim.policy.Limits)
	h.idleConns, h.openAttempts = map[string][]time.Duration{}, nil
	for _, id := range h.sim.targetIDs {
		h.registry.SetTarget(h.sim.targetInfo(id))
	}
	h.startLoadExchange()
}

// stop shuts the host down gracefully: it takes no new requests, those in flight complete.
func (h *host) stop() { h.running = false }

// inRotation reports whether the load balancer sends callers to the host. Hosts of a
// partitioned data centre leave after leaveRotationDelay, and return rejoinRotationDelay
// after the partition has healed.
func (h *host) inRotation() bool {
	if since, partitioned := h.sim.partitionedAt[h.dataCentre]; partitioned {
		return h.sim.Now()-since < leaveRotationDelay
	}
	if since, healed := h.sim.healedAt[h.dataCentre]; healed {
		return h.sim.Now()-since > rejoinRotationDelay
	}
	return true
}

// failPartitionedAttempts fails, after unreachableTimeout, the attempts at targets that a
// partition separates from the host.
func (h *host) failPartitionedAttempts() {
	for _, a := range h.openAttempts {
		if h.sim.isPartitioned(h.dataCentre, h.sim.dataCentreOf(a.targetID)) {
			h.sim.After(unreachableTimeout, a.fail)
		}
	}
}

// turn is one request for a turn, as a host serves it.
type turn struct {
	host           *host
	parts          []request.Part
	promptTokens   int
	outputTokens   int
	turnPart       request.Part
	programStarted bool
	draw           float64
	deadline       time.Duration // of the caller
	startedAt      time.Duration // of the caller's first request for the turn
	retained       bool          // the answer waits until history hosts have stored the turn
	maxAttempts    int
	class          *Class
	program        *program
	tried          map[string]bool // IDs of targets
	onReply        func(outcome)
	finished       bool
	attempt        *attempt // the one in flight, or nil
}

// serve starts a turn, which is routed after the read from history hosts. A host in a
// partitioned data centre cannot reach those and rejects the turn; the retry delay is the time
// until the load balancer sends callers elsewhere.
func (t *turn) serve() {
	sim := t.host.sim
	t.tried = map[string]bool{}
	if since, partitioned := sim.partitionedAt[t.host.dataCentre]; partitioned {
		t.finish(outcome{notRun: true, retryDelay: max(defaultRetryDelay, leaveRotationDelay-(sim.Now()-since))})
		return
	}
	sim.After(t.deadline-sim.Now(), func() { t.expire() })
	sim.After(simclock.Milliseconds(sim.fleet.HistoryReadMs), func() {
		t.applyRunRecords()
		t.route()
	})
}

// applyRunRecords marks the parts of the prompt as cached at the targets that ran them,
// according to the program's run records at the history hosts.
func (t *turn) applyRunRecords() {
	if !t.host.sim.policy.RunRecords {
		return
	}
	for i, p := range t.parts {
		if target, ok := t.host.registry.Target(t.program.runRecords[p.ID]); ok {
			target.MarkCached(t.parts[:i+1], t.host.sim.Now())
		}
	}
}

// expire fails the turn at its deadline.
func (t *turn) expire() {
	if t.finished {
		return
	}
	if t.attempt != nil {
		t.attempt.cancel()
		t.closeAttempt(balance.Failed)
	}
	t.finish(outcome{})
}

func (t *turn) finish(o outcome) {
	if !t.finished {
		t.finished = true
		t.onReply(o)
	}
}

// route sends the turn to a target, or rejects it.
func (t *turn) route() {
	if t.finished {
		return
	}
	h, sim := t.host, t.host.sim
	decision := h.dispatcher.Decide(dispatch.Request{
		Query:          balance.Query{Service: engineService, Parts: t.parts, PromptTokens: int64(t.promptTokens), Exclude: t.tried},
		ProgramStarted: t.programStarted, Draw: t.draw,
	}, sim.Now())
	switch decision.Action {
	case dispatch.NoTarget:
		t.finish(outcome{notRun: true, retryDelay: defaultRetryDelay})
	case dispatch.Reject:
		sim.result.TurnedAway++
		t.finish(outcome{notRun: true, retryDelay: decision.RetryDelay})
	default:
		t.send(decision.Choice)
	}
}

// send sends the turn to the chosen engine.
func (t *turn) send(choice balance.Choice) {
	h, sim := t.host, t.host.sim
	e := sim.engines[choice.ID]
	t.tried[choice.ID] = true
	delay := sim.linkDelay(h.dataCentre, e.dataCentre)
	sendDelay := delay + h.takeConnection(choice.ID, delay)
	r := &engineRequest{parts: t.parts, outputTokens: t.outputTokens, turnPart: t.turnPart}
	a := &attempt{targetID: choice.ID, load: float64(choice.Load) / float64(max(1, choice.Capacity)), sentAt: sim.Now(), uncachedTokens: choice.UncachedTokens}
	choice.RecordSend(t.parts, sim.Now())
	sim.result.recordTurnSend(sim.Now(), e.dataCentre == h.dataCentre)
	t.attempt = a
	h.openAttempts = append(h.openAttempts, a)
	a.cancel = func() { sim.After(delay, func() { e.cancel(r) }) }
	a.fail = func() {
		if t.attempt == a && !t.finished {
			t.closeAttempt(balance.Failed)
			t.finish(outcome{})
		}
	}
	r.onFirstToken = func(report request.Load) { sim.After(delay, func() { t.recordFirstEvent(a, report) }) }
	r.onEvent = func() { sim.After(delay, func() { t.recordEvent(a) }) }
	r.onDone = func() { sim.After(delay, func() { t.handleCompletion(a) }) }
	sim.After(sendDelay, func() {
		if sim.isPartitioned(h.dataCentre, e.dataCentre) {
			return // the turn fails by failPartitionedAttempts or by its deadline
		}
		if !e.submit(r) {
			sim.After(delay, func() { t.handleRefusal(a) })
		}
	})
}

// takeConnection takes an idle connection to a target, or opens one. It returns the delay until
// the connection is usable: 0 for an idle one, a round trip and 1 ms for a new one.
func (h *host) takeConnection(targetID string, delay time.Duration) time.Duration {
	idle := h.idleConns[targetID]
	idleTimeout := simclock.Milliseconds(h.sim.fleet.IdleTimeoutMs)
	for len(idle) > 0 {
		idleSince := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		h.idleConns[targetID] = idle
		if h.sim.Now()-idleSince < idleTimeout {
			return 0
		}
	}
	h.sim.result.Connections++
	return 2*delay + time.Millisecond
}

// releaseConnection returns a connection to the idle ones.
func (h *host) releaseConnection(targetID string) {
	const maxIdleConns = 8 // to one target
	if idle := h.idleConns[targetID]; len(idle) < maxIdleConns {
		h.idleConns[targetID] = append(idle, h.sim.Now())
	}
}

// closeAttempt ends the attempt in flight, if any, and records its outcome.
func (t *turn) closeAttempt(outcome balance.Outcome) {
	a := t.attempt
	if a == nil {
		return
	}
	t.attempt = nil
	t.host.openAttempts = slices.DeleteFunc(t.host.openAttempts, func(other *attempt) bool { return other == a })
	if target, ok := t.host.registry.Target(a.targetID); ok {
		target.RecordOutcome(outcome, t.host.sim.Now())
	}
}

// recordFirstEvent records the first event of an answer, and the load report in its head.
func (t *turn) recordFirstEvent(a *attempt, report request.Load) {
	if t.finished || t.attempt != a {
		return
	}
	if target, ok := t.host.registry.Target(a.targetID); ok {
		target.RecordLoadReport(report, t.host.sim.Now())
	}
	t.host.registry.RecordFirstEvent(a.targetID, a.load, a.uncachedTokens, t.host.sim.Now()-a.sentAt, t.host.sim.Now())
	t.host.sim.result.recordFirstEvent(t.host.sim.Now() - t.startedAt)
	a.lastEventAt = t.host.sim.Now()
}

// recordEvent records an event after the first.
func (t *turn) recordEvent(a *attempt) {
	if t.finished || t.attempt != a {
		return
	}
	now := t.host.sim.Now()
	t.host.registry.RecordEvent(a.targetID, a.load, now-a.lastEventAt, now)
	a.lastEventAt = now
}

// handleRefusal tries another target after a refusal, up to maxAttempts.
func (t *turn) handleRefusal(a *attempt) {
	if t.finished || t.attempt != a {
		return
	}
	t.closeAttempt(balance.Refused)
	t.host.releaseConnection(a.targetID)
	if len(t.tried) >= t.maxAttempts {
		t.finish(outcome{notRun: true, retryDelay: defaultRetryDelay})
		return
	}
	t.route()
}

// handleCompletion ends a turn whose answer is complete.
func (t *turn) handleCompletion(a *attempt) {
	if t.finished || t.attempt != a {
		return
	}
	t.host.sim.result.recordMove(t, a.targetID)
	t.program.runRecords[t.turnPart.ID] = a.targetID
	t.closeAttempt(balance.Served)
	t.host.releaseConnection(a.targetID)
	retainDelay := time.Duration(0)
	if t.retained {
		retainDelay = simclock.Milliseconds(t.host.sim.fleet.RetainMs)
	}
	t.host.sim.After(retainDelay, func() { t.finish(outcome{ok: true}) })
}
