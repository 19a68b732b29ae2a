package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/quota"
)

const (
	// tokenWait and tokenShare bound the wait for a token that is about to come, in all and
	// as a part of the time that the caller has. More programs end within their quota so than where their callers are refused
	// at once and come back.
	tokenWait  = 600 * time.Millisecond
	tokenShare = 3
	// firstTokenWait is the same for the first request of a program, which has lost nothing
	// yet by coming back.
	firstTokenWait = 40 * time.Millisecond
)

// tokenPatience is how long the request may wait for a token.
func (x *exchange) tokenPatience() time.Duration {
	if x.begins() {
		return firstTokenWait
	}
	return min(tokenWait, time.Until(x.deadline)/tokenShare)
}

// withinQuota takes a token of the customer's quota, which counts over all hosts.
func (x *exchange) withinQuota(ctx context.Context) error {
	if x.customer == nil || !x.customer.Quota.Limited() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, x.host.HistoryTimeout)
	defer cancel()
	grant, err := x.takeToken(ctx)
	for left := x.tokenPatience(); err == nil && !grant.Granted && grant.RetryDelay <= left && sleep(ctx, grant.RetryDelay); {
		left -= grant.RetryDelay
		grant, err = x.takeToken(ctx)
	}
	switch {
	case err != nil:
		return failure.Retry(failure.HistoryUnavailable, x.comeBack(), "quota of %s: %v", x.customer.Name, err)
	case !grant.Granted:
		x.host.Meter.Count("turned_away", "quota")
		return failure.Retry(failure.QuotaExceeded, grant.RetryDelay, "customer %s, %g requests a second and %g at once, version %d, first of its program: %t",
			x.customer.Name, x.customer.Quota.Rate, x.customer.Quota.Burst, x.customerVersion, x.begins())
	}
	return nil
}

func (x *exchange) takeToken(ctx context.Context) (quota.Grant, error) {
	q := x.customer.Quota
	return x.host.History.Take(ctx, quota.TokenRequest{
		Customer: x.customer.Name, Limit: quota.Limit{Rate: q.Rate, Burst: q.Burst}.WithTolerance(x.host.QuotaTolerance), Version: x.customerVersion,
		FirstOfProgram: x.begins(),
	})
}

// begins reports whether the request is the first of its program.
func (x *exchange) begins() bool { return x.isTurn() && !x.underWay }
