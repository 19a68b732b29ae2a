package node

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/wire/frame"
)

// request is a caller's request that is routed to the owner of its slot.
type request struct {
	message *peerpb.Forward
	// program determines the owner; empty for a new program without a parent.
	program ident.Program
	stream  bool
	// onEvent receives the events of a streamed answer; nil if it is not streamed.
	onEvent func(streamEvent)

	eventsSent bool // events of the answer have been passed on
	retrying   bool // an earlier attempt failed and the current one has passed on no event yet
}

// Bounds of the backoff between attempts to reach the owner of a slot.
const (
	minRouteRetryDelay = 10 * time.Millisecond
	maxRouteRetryDelay = 250 * time.Millisecond
)

// route sends a request to the owner of its slot and returns the outcome. If the
// owner changes meanwhile, the request is sent again. This is safe, since an owner
// recognises a repeated request by its program and sequence. No retry begins later than
// ForwardTimeout of the settings after the start.
func (n *Node) route(ctx context.Context, rq *request) host.Outcome {
	retryBackoff := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minRouteRetryDelay), backoff.WithMaxInterval(maxRouteRetryDelay), backoff.WithMaxElapsedTime(n.settings.ForwardTimeout))
	mayHaveRun := false // an owner may have accepted the request
	rq.discardOnRetry()
	for {
		out, mayHaveRunHere := n.attemptAtOwner(ctx, rq)
		mayHaveRun = mayHaveRun || mayHaveRunHere
		if out.Failure == nil || !isRetryable(out.Failure.Kind) {
			rq.discardUnlessStreamed()
			return out
		}
		rq.retrying = true
		delay := retryBackoff.NextBackOff()
		if delay == backoff.Stop {
			return abandonedOutcome(out, mayHaveRun)
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return abandonedOutcome(out, mayHaveRun)
		}
	}
}

// discardOnRetry wraps onEvent: before the first event of a later attempt, which
// streams the answer from its beginning, the receiver gets an event to discard those
// of earlier attempts.
func (rq *request) discardOnRetry() {
	if rq.onEvent == nil {
		return
	}
	forwardEvent := rq.onEvent
	rq.onEvent = func(ev streamEvent) {
		if rq.retrying && rq.eventsSent && !ev.discardEarlier {
			forwardEvent(streamEvent{discardEarlier: true})
		}
		rq.retrying = false
		rq.eventsSent = true
		forwardEvent(ev)
	}
}

// discardUnlessStreamed tells the receiver to discard the events of earlier attempts
// if the final attempt, whose answer may differ, streamed none.
func (rq *request) discardUnlessStreamed() {
	if rq.onEvent != nil && rq.retrying && rq.eventsSent {
		rq.onEvent(streamEvent{discardEarlier: true})
	}
}

// isRetryable reports whether another attempt may reach the owner.
func isRetryable(k failure.Kind) bool {
	switch k {
	case failure.NotOwner, failure.Moving, failure.PeerUnavailable:
		return true
	}
	return false
}

func abandonedOutcome(out host.Outcome, mayHaveRun bool) host.Outcome {
	f := *out.Failure
	f.RetryAfter = max(f.RetryAfter, time.Second)
	if mayHaveRun {
		f.Ran = failure.RanUnknown
	}
	return host.Outcome{Failure: &f}
}

// attemptAtOwner makes one attempt to have the request served by its owner.
// mayHaveRun reports whether the owner may have accepted it although the outcome is a
// failure.
func (n *Node) attemptAtOwner(ctx context.Context, rq *request) (out host.Outcome, mayHaveRun bool) {
	address, self, f := n.owner(rq)
	switch {
	case f != nil:
		return host.Outcome{Failure: f}, false
	case self:
		out = n.submitAndAwait(ctx, rq)
	default:
		out = n.forwardTo(ctx, address, rq)
	}
	return out, out.Failure != nil && out.Failure.Ran != failure.RanNo
}

func (n *Node) owner(rq *request) (address string, self bool, f *failure.Failure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rq.program == "" {
		if address := n.host.NewProgramAddress(); address != "" {
			return address, false, nil
		}
		return "", true, nil
	}
	slot, err := rq.program.Slot()
	if err != nil {
		return "", false, failure.From(err)
	}
	address, self, found, known := n.host.Owner(slot)
	switch {
	case !known:
		return "", false, failure.New(failure.UnknownProgram, "no program %s", rq.program)
	case !found:
		return "", false, failure.Retry(failure.NotOwner, time.Second, "slot %s has no owner", slot)
	}
	return address, self, nil
}

// submitAndAwait passes the request to this host's state machine and waits for the
// outcome.
func (n *Node) submitAndAwait(ctx context.Context, rq *request) host.Outcome {
	w := newWaiter(rq.stream)
	n.submit(w, callKeyOf(rq.message), func(id uint64) host.Event { return newRequestEvent(id, rq.message) })
	return n.awaitOutcome(ctx, w, rq.onEvent)
}

// awaitOutcome passes on events until the outcome arrives. The call of a caller that
// has disconnected continues; its answer can be fetched later.
func (n *Node) awaitOutcome(ctx context.Context, w *waiter, onEvent func(streamEvent)) host.Outcome {
	for {
		select {
		case ev := <-w.events:
			onEvent(ev)
		case out := <-w.done:
			n.deliverBufferedEvents(w, onEvent)
			return out
		case <-ctx.Done():
			return host.Outcome{Failure: failure.Unknown(failure.DeadlineExceeded, "the caller has disconnected")}
		case <-n.ctx.Done():
			return host.Outcome{Failure: failure.Unknown(failure.OwnerLost, "the host has stopped")}
		}
	}
}

// deliverBufferedEvents passes on the events that arrived before the outcome.
func (n *Node) deliverBufferedEvents(w *waiter, onEvent func(streamEvent)) {
	for len(w.events) > 0 {
		onEvent(<-w.events)
	}
}

func callKeyOf(f *peerpb.Forward) callKey {
	c := f.GetCall()
	return callKey{ident.Program(c.GetProgram()), c.GetSequence()}
}

func newRequestEvent(waiter uint64, f *peerpb.Forward) host.Event {
	switch m := f.Body.(type) {
	case *peerpb.Forward_Create:
		c := m.Create
		return &host.CreateProgram{
			Waiter: waiter, Caller: c.Caller, Service: c.Service, Parent: ident.Program(c.Parent),
			Budget: c.BudgetTokens, Deadline: time.Duration(c.DeadlineMs) * time.Millisecond, Key: c.Key,
		}
	case *peerpb.Forward_Call:
		c := m.Call
		return &host.SubmitCall{
			Waiter: waiter, Caller: c.Caller, Program: ident.Program(c.Program), Sequence: c.Sequence, Service: c.Service,
			Idempotent: c.Idempotent, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
			Deadline: time.Duration(c.DeadlineMs) * time.Millisecond, Prompt: c.Prompt,
		}
	case *peerpb.Forward_Fetch:
		c := m.Fetch
		return &host.FetchAnswer{Waiter: waiter, Caller: c.Caller, Program: ident.Program(c.Program), Sequence: c.Sequence}
	case *peerpb.Forward_End:
		return &host.EndProgram{Waiter: waiter, Caller: m.End.Caller, Program: ident.Program(m.End.Program)}
	}
	return &host.Tick{}
}

// forwardTo sends the request to the host at address and waits for the outcome.
func (n *Node) forwardTo(ctx context.Context, address string, rq *request) host.Outcome {
	n.mu.Lock()
	peer := n.outbox(address)
	n.mu.Unlock()
	stream := peer.openStream(frame.StreamRequest)
	if stream == nil {
		return host.Outcome{Failure: failure.Retry(failure.PeerUnavailable, time.Second, "the owner at %s cannot be reached", address)}
	}
	defer func() { _ = stream.Close() }() // at its end or broken
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	n.counter("requests.forwarded").Inc(1)
	if err := frame.Write(stream, rq.message); err != nil {
		return host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "connection to the owner at %s broke", address)}
	}
	return n.readReplies(stream, address, rq)
}

func (n *Node) readReplies(stream net.Conn, address string, rq *request) host.Outcome {
	for {
		m := &peerpb.ForwardReply{}
		if err := frame.Read(stream, m); err != nil {
			return host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "connection to the owner at %s broke", address)}
		}
		switch body := m.Body.(type) {
		case *peerpb.ForwardReply_Outcome:
			return outcomeFromWire(body.Outcome)
		case *peerpb.ForwardReply_Chunk:
			rq.onEvent(streamEvent{text: string(body.Chunk)})
		case *peerpb.ForwardReply_Restart:
			rq.onEvent(streamEvent{discardEarlier: true})
		}
	}
}

// serveForward serves a request that another host has forwarded to this one.
func (n *Node) serveForward(stream net.Conn) {
	f := &peerpb.Forward{}
	if err := frame.Read(stream, f); err != nil {
		if !errors.Is(err, io.EOF) {
			n.counter("peer.bad_frames").Inc(1)
		}
		return
	}
	n.requestsInFlight.add(1)
	defer n.requestsInFlight.add(-1)
	rq := &request{message: f, stream: f.GetCall().GetStream(), onEvent: func(ev streamEvent) {
		m := &peerpb.ForwardReply{Body: &peerpb.ForwardReply_Chunk{Chunk: []byte(ev.text)}}
		if ev.discardEarlier {
			m.Body = &peerpb.ForwardReply_Restart{Restart: true}
		}
		_ = frame.Write(stream, m) // a broken stream is detected when the outcome is written or read
	}}
	out := n.submitAndAwait(n.ctx, rq)
	if n.ctx.Err() != nil {
		return // no outcome, as after a crash: the sender retries at the new owner
	}
	_ = frame.Write(stream, &peerpb.ForwardReply{Body: &peerpb.ForwardReply_Outcome{Outcome: outcomeToWire(out)}}) // on failure the sender, if alive, retries
}

func outcomeToWire(o host.Outcome) *peerpb.Outcome {
	m := &peerpb.Outcome{
		Program: string(o.Program), Answer: o.Answer, Target: o.Target,
		PromptTokens: o.Usage.Prompt, OutputTokens: o.Usage.Output, CachedTokens: o.Usage.Cached,
	}
	if f := o.Failure; f != nil {
		m.FailureKind, m.FailureDetail, m.Ran = string(f.Kind), f.Detail, string(f.Ran)
		m.RetryAfterMs = f.RetryAfter.Milliseconds()
	}
	return m
}

func outcomeFromWire(m *peerpb.Outcome) host.Outcome {
	o := host.Outcome{
		Program: ident.Program(m.Program), Answer: m.Answer, Target: m.Target,
		Usage: host.Usage{Prompt: m.PromptTokens, Output: m.OutputTokens, Cached: m.CachedTokens},
	}
	if m.FailureKind != "" {
		o.Failure = &failure.Failure{
			Kind: failure.Kind(m.FailureKind), Detail: m.FailureDetail, Ran: failure.Ran(m.Ran),
			RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		}
	}
	return o
}
