package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

const (
	// maxTokenWait bounds the wait for the next token, and tokenWaitDivisor bounds it as a
	// fraction, 1/tokenWaitDivisor, of the time until the request's deadline. With the wait,
	// more programs end within their quota than if callers are refused at once and retry.
	maxTokenWait     = 600 * time.Millisecond
	tokenWaitDivisor = 3
	// maxFirstTokenWait is the same for the first request of a program, which loses nothing
	// by a retry.
	maxFirstTokenWait = 40 * time.Millisecond
)

// tokenWaitTimeout returns how long the request may wait for a token.
func (x *exchange) tokenWaitTimeout() time.Duration {
	if x.startsProgram() {
		return maxFirstTokenWait
	}
	return min(maxTokenWait, time.Until(x.deadline)/tokenWaitDivisor)
}

// awaitQuotaToken takes a token of the customer's quota, which is shared by all hosts. It waits for
// one up to tokenWaitTimeout, and returns a failure with a retry delay if it gets none.
func (x *exchange) awaitQuotaToken(ctx context.Context) error {
	if x.customer == nil || !x.customer.Quota.Limited() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, x.host.HistoryTimeout)
	defer cancel()
	grant, err := x.requestToken(ctx)
	for remaining := x.tokenWaitTimeout(); err == nil && !grant.Granted && grant.RetryDelay <= remaining && wait.For(ctx, grant.RetryDelay); {
		remaining -= grant.RetryDelay
		grant, err = x.requestToken(ctx)
	}
	switch {
	case err != nil:
		return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "quota of customer %s: %v", x.customer.Name, err)
	case !grant.Granted:
		x.host.Meter.Count("turned_away", "quota")
		return failure.Retry(failure.QuotaExceeded, grant.RetryDelay, "quota of customer %s exhausted: %g requests/s, burst %g, configuration version %d, first request of its program: %t",
			x.customer.Name, x.customer.Quota.Rate, x.customer.Quota.Burst, x.customerVersion, x.startsProgram())
	}
	return nil
}

// requestToken asks history hosts once for a token of the customer's quota.
func (x *exchange) requestToken(ctx context.Context) (quota.Grant, error) {
	q := x.customer.Quota
	return x.host.History.TakeToken(ctx, quota.TokenRequest{
		Customer: x.customer.Name, Limit: quota.Limit{Rate: q.Rate, Burst: q.Burst}.WithTolerance(x.host.QuotaTolerance), Version: x.customerVersion,
		FirstOfProgram: x.startsProgram(),
	})
}

// startsProgram reports whether the request is the first of its program.
func (x *exchange) startsProgram() bool { return x.isTurn() && !x.programStarted }
