package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/wire/api"
)

// Limits on callers' requests.
const (
	readHeaderTimeout = 10 * time.Second
	readBodyTimeout   = 30 * time.Second
	maxHeaderBytes    = 64 << 10
	defaultMaxTokens  = 1024
	maxCreateKeyBytes = 256
)

// serveHTTP serves a listener until the host stops.
func (n *Node) serveHTTP(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler: n.connections.closeAfterResponse(h), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return n.ctx },
		ConnState:   n.connections.onStateChange,
	}
	n.servers = append(n.servers, s)
	n.spawn(func() { _ = s.Serve(l) }) // returns when the listener is closed
	n.spawn(func() {
		<-n.ctx.Done()
		_ = s.Close() // Drain has waited for requests in flight; Kill abandons them
	})
}

func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/programs", n.authenticateCaller(n.handleCreate))
	mux.HandleFunc("POST /v1/programs/{id}/calls", n.authenticateCaller(n.handleCall))
	mux.HandleFunc("GET /v1/programs/{id}/calls/{n}", n.authenticateCaller(n.handleFetch))
	mux.HandleFunc("DELETE /v1/programs/{id}", n.authenticateCaller(n.handleEnd))
	mux.HandleFunc("GET /healthz", n.handleHealth)
	return mux
}

// callerRequest is an authenticated request with its caller and the token budget of
// the caller's programs.
type callerRequest struct {
	w      http.ResponseWriter
	r      *http.Request
	caller string
	budget int64
}

// authenticateCaller authenticates the caller, counts the request as in flight,
// records its duration and writes its failure, if any.
func (n *Node) authenticateCaller(serve func(*callerRequest) *failure.Failure) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.requestsInFlight.add(1)
		defer n.requestsInFlight.add(-1)
		startedAt := time.Now()
		n.mu.Lock()
		caller, budget, ok := n.host.Caller(bearerDigest(r))
		configured := n.host.ConfigVersion() > 0
		n.mu.Unlock()
		f := failure.New(failure.Unauthorized, "unknown caller token")
		if !configured {
			f = failure.Retry(failure.PlatformUnavailable, healthRetryDelay, "the host has not received a declaration yet")
		}
		if ok {
			f = serve(&callerRequest{w: w, r: r, caller: caller, budget: budget})
		}
		n.recordDuration("requests_us", startedAt)
		if f != nil {
			n.counter("requests.failed." + string(f.Kind)).Inc(1)
			writeFailure(w, f)
		}
	}
}

func bearerDigest(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func writeFailure(w http.ResponseWriter, f *failure.Failure) {
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, api.Status(f.Kind), api.ErrorOf(f))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

// decodeBody decodes a body of at most MaxBodyBytes that holds one JSON value
// without unknown fields.
func (n *Node) decodeBody(c *callerRequest, v any) *failure.Failure {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(readBodyTimeout)) // not supported by every writer
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, n.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return failure.New(failure.TooLarge, "body exceeds %d bytes", tooLarge.Limit)
	case err != nil:
		return failure.New(failure.BadRequest, "body: %v", err)
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{}) // as above
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return failure.New(failure.BadRequest, "body: %v", err)
	}
	if decoder.More() {
		return failure.New(failure.BadRequest, "body: more than one JSON value")
	}
	return nil
}

func (n *Node) handleCreate(c *callerRequest) *failure.Failure {
	var body api.CreateProgram
	if f := n.decodeBody(c, &body); f != nil {
		return f
	}
	budget := c.budget
	if body.Budget != nil {
		budget = min(*body.Budget, c.budget)
	}
	switch {
	case body.DeadlineMS < 0:
		return failure.New(failure.BadRequest, "deadline_ms is negative")
	case len(body.Key) > maxCreateKeyBytes:
		return failure.New(failure.TooLarge, "key exceeds %d bytes", maxCreateKeyBytes)
	}
	out := n.route(c.r.Context(), &request{
		program: ident.Program(body.Parent),
		message: &peerpb.Forward{Body: &peerpb.Forward_Create{Create: &peerpb.CreateRequest{
			Caller: c.caller, Service: body.Service, Parent: body.Parent, BudgetTokens: budget, DeadlineMs: body.DeadlineMS, Key: body.Key,
		}}},
	})
	if out.Failure != nil {
		return out.Failure
	}
	writeJSON(c.w, http.StatusCreated, api.Program{Program: string(out.Program)})
	return nil
}

func (n *Node) handleCall(c *callerRequest) *failure.Failure {
	var body api.Call
	if f := n.decodeBody(c, &body); f != nil {
		return f
	}
	m, f := newCallRequest(c, &body)
	if f != nil {
		return f
	}
	rq := &request{
		program: ident.Program(m.Program), stream: body.Stream,
		message: &peerpb.Forward{Body: &peerpb.Forward_Call{Call: m}},
	}
	if body.Stream {
		return n.streamCall(c, rq, body.Sequence)
	}
	return n.writeAnswer(c, n.route(c.r.Context(), rq), body.Sequence)
}

// newCallRequest validates the body of a call and converts it to a request to the
// owner of the program.
func newCallRequest(c *callerRequest, body *api.Call) (*peerpb.CallRequest, *failure.Failure) {
	m := &peerpb.CallRequest{
		Caller: c.caller, Program: c.r.PathValue("id"), Sequence: body.Sequence, Service: body.Service,
		Idempotent: body.Idempotent == nil || *body.Idempotent, Stream: body.Stream,
		MaxTokens: body.MaxTokens, DeadlineMs: body.DeadlineMS, Prompt: body.Messages,
	}
	switch {
	case body.DeadlineMS < 0 || body.MaxTokens < 0:
		return nil, failure.New(failure.BadRequest, "deadline_ms and max_tokens must not be negative")
	case (len(body.Messages) == 0) == (len(body.Body) == 0):
		return nil, failure.New(failure.BadRequest, "a call must have either messages (for an engine) or a body (for a plain service)")
	case len(body.Body) > 0:
		m.Prompt = body.Body
		return m, nil
	}
	var messages []api.Message
	if err := json.Unmarshal(body.Messages, &messages); err != nil || len(messages) == 0 {
		return nil, failure.New(failure.BadRequest, "messages must be a list of role and content")
	}
	if m.MaxTokens == 0 {
		m.MaxTokens = defaultMaxTokens
	}
	// A token has at least one byte, so the number of bytes bounds that of tokens.
	m.PromptTokens = int64(len(body.Messages))
	return m, nil
}

func (n *Node) handleFetch(c *callerRequest) *failure.Failure {
	seq, err := strconv.ParseUint(c.r.PathValue("n"), 10, 32)
	if err != nil {
		return failure.New(failure.BadRequest, "%q is not a sequence number", c.r.PathValue("n"))
	}
	out := n.route(c.r.Context(), &request{
		program: ident.Program(c.r.PathValue("id")),
		message: &peerpb.Forward{Body: &peerpb.Forward_Fetch{Fetch: &peerpb.FetchRequest{
			Caller: c.caller, Program: c.r.PathValue("id"), Sequence: uint32(seq),
		}}},
	})
	return n.writeAnswer(c, out, uint32(seq))
}

func (n *Node) handleEnd(c *callerRequest) *failure.Failure {
	out := n.route(c.r.Context(), &request{
		program: ident.Program(c.r.PathValue("id")),
		message: &peerpb.Forward{Body: &peerpb.Forward_End{End: &peerpb.EndRequest{Caller: c.caller, Program: c.r.PathValue("id")}}},
	})
	if out.Failure != nil {
		return out.Failure
	}
	c.w.WriteHeader(http.StatusNoContent)
	return nil
}

func apiAnswer(out host.Outcome, sequence uint32) api.Answer {
	return api.Answer{
		Program: string(out.Program), Sequence: sequence, Answer: string(out.Answer), Target: out.Target,
		Usage: api.Usage{PromptTokens: out.Usage.Prompt, OutputTokens: out.Usage.Output, CachedTokens: out.Usage.Cached},
	}
}

func (n *Node) writeAnswer(c *callerRequest, out host.Outcome, sequence uint32) *failure.Failure {
	if out.Failure != nil {
		return out.Failure
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(n.settings.ClientWriteTimeout)) // not supported by every writer
	writeJSON(c.w, http.StatusOK, apiAnswer(out, sequence))
	return nil
}

// streamCall answers a call with server-sent events. Chunks are provisional: only
// the final event is durable.
func (n *Node) streamCall(c *callerRequest, rq *request, sequence uint32) *failure.Failure {
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	s := &eventStream{w: c.w, control: http.NewResponseController(c.w), timeout: n.settings.ClientWriteTimeout, cancel: cancel}
	rq.onEvent = func(ev streamEvent) {
		if ev.discardEarlier {
			s.write(api.EventRestart, struct{}{})
			return
		}
		s.write(api.EventChunk, api.Chunk{Text: ev.text})
	}
	out := n.route(ctx, rq)
	switch {
	case out.Failure != nil && !s.headSent:
		return out.Failure
	case out.Failure != nil:
		s.write(api.EventError, api.ErrorOf(out.Failure))
	default:
		s.write(api.EventAnswer, apiAnswer(out, sequence))
	}
	return nil
}

// eventStream writes server-sent events to one caller. A write that a caller does
// not read within timeout fails and cancels the request.
type eventStream struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	timeout  time.Duration
	headSent bool
	failed   bool
	cancel   func()
}

func (s *eventStream) write(event string, v any) {
	if s.failed {
		return
	}
	if !s.headSent {
		s.headSent = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	data, _ := json.Marshal(v)                                // never fails for these structs
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout)) // not supported by every writer
	_, err := io.WriteString(s.w, "event: "+event+"\ndata: "+string(data)+"\n\n")
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		s.failed = true
		s.cancel()
	}
}
