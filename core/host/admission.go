package host

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

// admitCall applies rules and limits to a call whose turn has come and reserves its
// budget. It returns the failure if the call may not run.
func (h *Host) admitCall(c *call) *failure.Failure {
	if rejection := h.applyRules(c); rejection != nil {
		return rejection
	}
	svc := h.declared().Services[c.accepted.Service]
	if rejection := h.checkProgramLimits(c, svc); rejection != nil {
		return rejection
	}
	if rejection := h.checkLoad(c, svc); rejection != nil {
		return rejection
	}
	if svc.Kind == decl.Plain {
		c.accepted.PromptTokens, c.accepted.MaxTokens = 0, 0
		return nil
	}
	return h.reserveBudget(c)
}

// applyRules applies the first rule that matches, the default directives if none
// does, and the deadlines of the program and the rule.
func (h *Host) applyRules(c *call) *failure.Failure {
	set, p, accepted := h.declared(), c.program, c.accepted
	if set == nil {
		return failure.Retry(failure.PlatformUnavailable, suspendedRetryDelay, "this host has not read a declaration yet")
	}
	if accepted.Service == "" {
		accepted.Service = p.service
	}
	directives, ok := set.Route(&decl.Env{
		Service: accepted.Service, Caller: p.caller, DataCentre: h.cfg.DataCentre, Sequence: int(accepted.Sequence),
		PromptTokens: int(accepted.PromptTokens), HistoryTokens: int(p.historyTokens), MaxTokens: int(accepted.MaxTokens),
		SpentTokens: int(p.spentTokens), Idempotent: accepted.Idempotent, SubAgent: p.parent != "",
	})
	if !ok {
		directives = decl.Then{Priority: decl.DefaultPriority, Retries: -1}
	}
	if directives.Retries < 0 {
		directives.Retries = decl.DefaultRetries
	}
	if directives.Service != "" {
		accepted.Service = directives.Service
	}
	c.directives = directives
	c.deadline = earliest(c.deadline, p.deadline)
	if directives.Deadline > 0 {
		c.deadline = earliest(c.deadline, c.arrivedAt+directives.Deadline)
	}
	switch {
	case directives.Reject != "":
		return failure.New(failure.Rejected, "rule %q: %s", directives.Rule, directives.Reject)
	case set.Services[accepted.Service] == nil:
		return failure.New(failure.UnknownService, "no service %q", accepted.Service)
	}
	return nil
}

// earliest returns the earlier of two times; 0 stands for none.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// checkProgramLimits ends programs that loop or exceed the turn limit, and rejects
// calls whose history is too long.
func (h *Host) checkProgramLimits(c *call, svc *decl.Service) *failure.Failure {
	p := c.program
	switch {
	case svc.RepeatLimit > 0 && p.repeatsBody(c.accepted.BodyHash, svc.RepeatLimit):
		h.endProgram(p, string(failure.LoopDetected))
		return failure.New(failure.LoopDetected, "the same call was submitted more than %d times in a row", svc.RepeatLimit)
	case len(p.turns) >= svc.TurnLimit:
		h.endProgram(p, string(failure.TurnLimit))
		return failure.New(failure.TurnLimit, "the program has reached the limit of %d calls", svc.TurnLimit)
	case svc.Kind == decl.Engine && p.historyTokens+c.accepted.PromptTokens > svc.HistoryTokens:
		return failure.New(failure.HistoryTooLong, "history and prompt exceed %d tokens", svc.HistoryTokens)
	}
	return nil
}

// checkLoad rejects calls over a rate limit, and calls that could not be served
// within their deadline.
func (h *Host) checkLoad(c *call, svc *decl.Service) *failure.Failure {
	caller := c.program.caller
	if declaredCaller := h.declared().Callers[caller]; declaredCaller != nil && !h.allowRate(rateLimiterKey{caller: caller}, declaredCaller.CallsPerSecond) {
		return failure.Retry(failure.RateLimited, callInterval(declaredCaller.CallsPerSecond), "caller %s exceeds its rate limit", caller)
	}
	if !h.allowRate(rateLimiterKey{caller: caller, rule: c.directives.Rule}, c.directives.CallsPerSecond) {
		return failure.Retry(failure.RateLimited, callInterval(c.directives.CallsPerSecond), "rule %q: rate limit exceeded", c.directives.Rule)
	}
	if !h.sched.Usable(h.now, svc.Name) {
		return failure.Retry(failure.NoTarget, noTargetRetryDelay, "no target of %s is available", svc.Name)
	}
	expectedWait := h.sched.ExpectedWait(svc.Name)
	if h.sched.Waiting(svc.Name) >= svc.QueueLimit {
		return failure.Retry(failure.Overloaded, max(overloadedRetryDelay, expectedWait), "the queue of %s is full", svc.Name)
	}
	if c.deadline > 0 && h.now+expectedWait >= c.deadline {
		return failure.Retry(failure.DeadlineExceeded, max(overloadedRetryDelay, expectedWait), "the expected queue wait exceeds the deadline")
	}
	return nil
}

type rateLimiterKey struct{ caller, rule string }

// allowRate takes a token for one call from the limiter of key, whose burst is the
// calls of one second, at least one. It allows any rate if callsPerSecond is not
// positive.
func (h *Host) allowRate(key rateLimiterKey, callsPerSecond float64) bool {
	if callsPerSecond <= 0 {
		return true
	}
	limiter := h.rateLimiters[key]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond)))
		h.rateLimiters[key] = limiter
	}
	if limiter.Limit() != rate.Limit(callsPerSecond) {
		limiter.SetLimitAt(h.nowTime(), rate.Limit(callsPerSecond))
		limiter.SetBurstAt(h.nowTime(), max(1, int(callsPerSecond)))
	}
	return limiter.AllowN(h.nowTime(), 1)
}

func callInterval(callsPerSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / callsPerSecond)
}

// reserveBudget limits the call's output tokens to the remaining budget and reserves
// the tokens of one attempt.
func (h *Host) reserveBudget(c *call) *failure.Failure {
	accepted := c.accepted
	accepted.MaxTokens = min(accepted.MaxTokens, h.remainingBudget(c.program)-accepted.PromptTokens)
	if accepted.MaxTokens < 1 {
		return failure.New(failure.BudgetExhausted, "%d tokens remain in the budget, the prompt may use %d", h.remainingBudget(c.program), accepted.PromptTokens)
	}
	c.reservedTokens = c.attemptTokens()
	h.reserveTokens(c.program, c.reservedTokens)
	return nil
}
