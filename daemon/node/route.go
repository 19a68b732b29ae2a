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

// request is one request of a caller, on its way to the owner of its slot.
type request struct {
	forward *peerpb.Forward
	// program decides the owner; empty for a new program without a parent.
	program ident.Program
	stream  bool
	// onEvent gets the pieces of a streamed answer.
	onEvent func(streamEvent)

	streamed bool // something was passed on
	again    bool // by an earlier attempt
}

// Pauses between attempts to reach the owner of a slot.
const (
	routeFirstPause = 10 * time.Millisecond
	routeMaxPause   = 250 * time.Millisecond
)

// route brings a request to the owner of its slot and returns the outcome. The
// owner may change on the way: the request is then sent again, which is safe,
// since an owner recognises it by program and sequence. Once ForwardTimeout is
// over the request is given up.
func (n *Node) route(ctx context.Context, rq *request) host.Outcome {
	pause := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(routeFirstPause), backoff.WithMaxInterval(routeMaxPause), backoff.WithMaxElapsedTime(n.set.ForwardTimeout))
	maybe := false // an owner may have taken the request
	rq.follow()
	for {
		out, taken := n.tryOwner(ctx, rq)
		maybe = maybe || taken
		if out.Failure == nil || !elsewhere(out.Failure.Kind) {
			rq.settle()
			return out
		}
		rq.again = true
		wait := pause.NextBackOff()
		if wait == backoff.Stop {
			return giveUp(out, maybe)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return giveUp(out, maybe)
		}
	}
}

// follow makes what was streamed void before another owner streams the answer
// from its beginning.
func (rq *request) follow() {
	if rq.onEvent == nil {
		return
	}
	pass := rq.onEvent
	rq.onEvent = func(ev streamEvent) {
		if rq.again && rq.streamed && !ev.restart {
			pass(streamEvent{restart: true})
		}
		rq.again = false
		rq.streamed = true
		pass(ev)
	}
}

// settle makes pieces of an earlier attempt void when the final one, whose
// answer may differ, streamed none.
func (rq *request) settle() {
	if rq.onEvent != nil && rq.again && rq.streamed {
		rq.onEvent(streamEvent{restart: true})
	}
}

// elsewhere reports whether another attempt may find the owner.
func elsewhere(k failure.Kind) bool {
	switch k {
	case failure.NotOwner, failure.Moving, failure.PeerUnavailable:
		return true
	}
	return false
}

func giveUp(out host.Outcome, maybe bool) host.Outcome {
	f := *out.Failure
	f.RetryAfter = max(f.RetryAfter, time.Second)
	if maybe {
		f.Ran = failure.RanUnknown
	}
	return host.Outcome{Failure: &f}
}

// tryOwner makes one attempt. taken says that an owner may have the request
// although the outcome is a failure.
func (n *Node) tryOwner(ctx context.Context, rq *request) (out host.Outcome, taken bool) {
	address, self, f := n.owner(rq)
	switch {
	case f != nil:
		return host.Outcome{Failure: f}, false
	case self:
		out = n.local(ctx, rq)
	default:
		out = n.remote(ctx, address, rq)
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
		return "", false, failure.Retry(failure.NotOwner, time.Second, "slot %s has no owner now", slot)
	}
	return address, self, nil
}

// local gives the request to this host's own machine.
func (n *Node) local(ctx context.Context, rq *request) host.Outcome {
	w := newWaiter(rq.stream)
	n.submit(w, keyOf(rq.forward), func(id uint64) host.Event { return eventOf(id, rq.forward) })
	return n.await(ctx, w, rq.onEvent)
}

// await passes on events until the outcome. A caller that has gone away leaves
// its call running: the answer can be fetched.
func (n *Node) await(ctx context.Context, w *waiter, onEvent func(streamEvent)) host.Outcome {
	for {
		select {
		case ev := <-w.events:
			onEvent(ev)
		case out := <-w.done:
			n.rest(w, onEvent)
			return out
		case <-ctx.Done():
			return host.Outcome{Failure: failure.Unknown(failure.DeadlineExceeded, "the caller has gone away")}
		case <-n.ctx.Done():
			return host.Outcome{Failure: failure.Unknown(failure.OwnerLost, "the host ends")}
		}
	}
}

// rest passes on the events that came before the outcome.
func (n *Node) rest(w *waiter, onEvent func(streamEvent)) {
	for len(w.events) > 0 {
		onEvent(<-w.events)
	}
}

func keyOf(f *peerpb.Forward) callKey {
	c := f.GetCall()
	return callKey{ident.Program(c.GetProgram()), c.GetSequence()}
}

func eventOf(waiter uint64, f *peerpb.Forward) host.Event {
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

// remote sends the request to another host.
func (n *Node) remote(ctx context.Context, address string, rq *request) host.Outcome {
	n.mu.Lock()
	box := n.outbox(address)
	n.mu.Unlock()
	stream := box.open(frame.StreamRequest)
	if stream == nil {
		return host.Outcome{Failure: failure.Retry(failure.PeerUnavailable, time.Second, "the owner at %s cannot be reached", address)}
	}
	defer func() { _ = stream.Close() }() // read to its end or broken
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	n.counter("requests.forwarded").Inc(1)
	if err := frame.Write(stream, rq.forward); err != nil {
		return host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "the owner at %s was cut off", address)}
	}
	return n.readReplies(stream, address, rq)
}

func (n *Node) readReplies(stream net.Conn, address string, rq *request) host.Outcome {
	for {
		m := &peerpb.ForwardReply{}
		if err := frame.Read(stream, m); err != nil {
			return host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "the owner at %s was cut off", address)}
		}
		switch b := m.Body.(type) {
		case *peerpb.ForwardReply_Outcome:
			return outcomeFromWire(b.Outcome)
		case *peerpb.ForwardReply_Chunk:
			rq.onEvent(streamEvent{text: string(b.Chunk)})
		case *peerpb.ForwardReply_Restart:
			rq.onEvent(streamEvent{restart: true})
		}
	}
}

// serveForward answers the request of another host from this host's machine.
func (n *Node) serveForward(stream net.Conn) {
	f := &peerpb.Forward{}
	if err := frame.Read(stream, f); err != nil {
		if !errors.Is(err, io.EOF) {
			n.counter("peer.bad_frames").Inc(1)
		}
		return
	}
	n.requests.add(1)
	defer n.requests.add(-1)
	rq := &request{forward: f, stream: f.GetCall().GetStream(), onEvent: func(ev streamEvent) {
		m := &peerpb.ForwardReply{Body: &peerpb.ForwardReply_Chunk{Chunk: []byte(ev.text)}}
		if ev.restart {
			m.Body = &peerpb.ForwardReply_Restart{Restart: true}
		}
		_ = frame.Write(stream, m) // a broken stream shows at the outcome
	}}
	out := n.local(n.ctx, rq)
	if n.ctx.Err() != nil {
		return // as a host that died: the asker looks for the new owner
	}
	_ = frame.Write(stream, &peerpb.ForwardReply{Body: &peerpb.ForwardReply_Outcome{Outcome: outcomeToWire(out)}}) // the asker, if alive, asks again
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
