package host

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

// admit decides whether the call may run, and reserves its budget.
func (h *Host) admit(f *flight) *failure.Failure {
	if refused := h.decide(f); refused != nil {
		return refused
	}
	svc := h.set().Services[f.accepted.Service]
	if refused := h.guardLoops(f, svc); refused != nil {
		return refused
	}
	if refused := h.guardLoad(f, svc); refused != nil {
		return refused
	}
	if svc.Kind == decl.Plain {
		f.accepted.PromptTokens, f.accepted.MaxTokens = 0, 0
		return nil
	}
	return h.takeBudget(f)
}

// decide applies the first rule that matches and the call's deadlines.
func (h *Host) decide(f *flight) *failure.Failure {
	set, p, a := h.set(), f.p, f.accepted
	if set == nil {
		return failure.Retry(failure.PlatformUnavailable, suspendedRetry, "no declaration is known yet")
	}
	if a.Service == "" {
		a.Service = p.service
	}
	then, ok := set.Route(&decl.Env{
		Service: a.Service, Caller: p.caller, DataCentre: h.cfg.DataCentre, Sequence: int(a.Sequence),
		PromptTokens: int(a.PromptTokens), HistoryTokens: int(p.history), MaxTokens: int(a.MaxTokens),
		SpentTokens: int(p.spent), Idempotent: a.Idempotent, SubAgent: p.parent != "",
	})
	if !ok {
		then = decl.Then{Priority: decl.DefaultPriority, Retries: -1}
	}
	if then.Retries < 0 {
		then.Retries = decl.DefaultRetries
	}
	if then.Service != "" {
		a.Service = then.Service
	}
	f.then = then
	f.deadline = earliest(f.deadline, p.deadline)
	if then.Deadline > 0 {
		f.deadline = earliest(f.deadline, f.arrived+then.Deadline)
	}
	switch {
	case then.Reject != "":
		return failure.New(failure.Rejected, "rule %q: %s", then.Rule, then.Reject)
	case set.Services[a.Service] == nil:
		return failure.New(failure.UnknownService, "no service %q", a.Service)
	}
	return nil
}

func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// guardLoops ends programs that run without end.
func (h *Host) guardLoops(f *flight, svc *decl.Service) *failure.Failure {
	p := f.p
	switch {
	case svc.RepeatLimit > 0 && p.repeats(f.accepted.BodyHash, svc.RepeatLimit):
		h.end(p, string(failure.LoopDetected))
		return failure.New(failure.LoopDetected, "the same call came more than %d times in a row", svc.RepeatLimit)
	case len(p.turns) >= svc.TurnLimit:
		h.end(p, string(failure.TurnLimit))
		return failure.New(failure.TurnLimit, "a program has at most %d calls", svc.TurnLimit)
	case svc.Kind == decl.Engine && p.history+f.accepted.PromptTokens > svc.HistoryTokens:
		return failure.New(failure.HistoryTooLong, "history and prompt exceed %d tokens", svc.HistoryTokens)
	}
	return nil
}

// guardLoad refuses at once what would not be served in time.
func (h *Host) guardLoad(f *flight, svc *decl.Service) *failure.Failure {
	caller := f.p.caller
	if c := h.set().Callers[caller]; c != nil && !h.allow(limitKey{caller: caller}, c.CallsPerSecond) {
		return failure.Retry(failure.RateLimited, perCall(c.CallsPerSecond), "caller %s is over its rate", caller)
	}
	if !h.allow(limitKey{caller: caller, rule: f.then.Rule}, f.then.CallsPerSecond) {
		return failure.Retry(failure.RateLimited, perCall(f.then.CallsPerSecond), "rule %q limits the rate", f.then.Rule)
	}
	if !h.sched.Usable(h.now, svc.Name) {
		return failure.Retry(failure.NoTarget, noTargetRetry, "no target of %s takes work", svc.Name)
	}
	expected := h.sched.ExpectedWait(svc.Name)
	if h.sched.Waiting(svc.Name) >= svc.QueueLimit {
		return failure.Retry(failure.Overloaded, max(overloadedRetry, expected), "the queue of %s is full", svc.Name)
	}
	if f.deadline > 0 && h.now+expected >= f.deadline {
		return failure.Retry(failure.DeadlineExceeded, max(overloadedRetry, expected), "the queue is longer than the deadline")
	}
	return nil
}

type limitKey struct{ caller, rule string }

// allow takes one call from a token bucket that holds one second's worth.
func (h *Host) allow(key limitKey, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	l := h.limits[key]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		h.limits[key] = l
	}
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimitAt(h.clock(), rate.Limit(perSecond))
		l.SetBurstAt(h.clock(), max(1, int(perSecond)))
	}
	return l.AllowN(h.clock(), 1)
}

func perCall(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// takeBudget clips the output to what the budget leaves and reserves it.
func (h *Host) takeBudget(f *flight) *failure.Failure {
	a := f.accepted
	a.MaxTokens = min(a.MaxTokens, h.left(f.p)-a.PromptTokens)
	if a.MaxTokens < 1 {
		return failure.New(failure.BudgetExhausted, "%d tokens are left, the prompt may take %d", h.left(f.p), a.PromptTokens)
	}
	f.reserved = f.attemptTokens()
	h.reserve(f.p, f.reserved)
	return nil
}
