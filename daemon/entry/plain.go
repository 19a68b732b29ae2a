package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// deliverPlain sends an answer that is not a stream to the caller. body and err are the results
// of readAnswer. retry reports whether another target may be tried.
func (x *exchange) deliverPlain(ctx context.Context, t balance.TargetInfo, resp *targetpool.Response, body *bodyChunks, err error) (retry bool, _ error) {
	if failure.Is(err, failure.Overloaded) {
		x.recordOutcome(t.ID, balance.Abandoned)
		return false, failure.Unknown(failure.Overloaded, "reading the answer of target %s: %v", t.ID, err)
	}
	if err != nil {
		f := failure.Unknown(failure.BadAnswer, "reading the answer body of target %s: %v", t.ID, err)
		f.Kind = failureKind(ctx, f.Kind)
		x.addBrokenRun(t, f)
		x.recordOutcome(t.ID, failureOutcome(ctx, f))
		return x.repeatable(), f
	}
	if resp.Status < http.StatusInternalServerError {
		x.recordOutcome(t.ID, balance.Served)
		x.recordDuration(time.Since(x.sentAt))
	} else {
		x.recordOutcome(t.ID, balance.Failed)
		x.addFailedRun(t, resp.Status)
		if x.repeatable() && x.sendCount < x.route.MaxAttempts && x.hasUntriedTarget() {
			return true, failure.Unknown(failure.TargetFailed, "target %s answered with status %d", t.ID, resp.Status)
		}
	}
	if !x.repeatable() && x.impliesNotRun(resp.Status) {
		return false, failure.Unknown(failure.BadAnswer, "target %s answered with status %d and did not mark the request as not run", t.ID, resp.Status)
	}
	if err := x.recordBrokenRunsOf(ctx, resp.Status); err != nil {
		x.host.Log.Info("answer of a failed run is passed on", "request", x.call.ID, "target", t.ID, "status", resp.Status, "error", err.Error())
	}
	x.status = resp.Status
	x.copyHeader(resp.Header)
	x.w.Header().Set("Content-Length", strconv.FormatInt(body.size, 10))
	x.headSent = true
	x.w.WriteHeader(resp.Status)
	if err := x.writeAnswer(body); err != nil {
		return false, failure.Unknown(failure.CallerGone, "writing the answer of target %s to the caller: %v", t.ID, err)
	}
	return false, nil
}

// recordBrokenRunsOf is recordBrokenRuns for an answer that is about to be passed on, if it is a failure of
// the target: its caller may come back.
func (x *exchange) recordBrokenRunsOf(ctx context.Context, status int) error {
	if status < http.StatusInternalServerError {
		return nil
	}
	return x.recordBrokenRuns(ctx)
}

// impliesNotRun reports whether callers conclude from a status that the request has not run and
// never will. Only the system may send such a status, or a target that marks the request as not
// run explicitly.
func (x *exchange) impliesNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired, http.StatusNotFound, http.StatusGone:
		return x.turn != nil
	}
	return statusImpliesNotRun(status)
}

// statusImpliesNotRun reports the same for requests of all kinds.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeader copies a target's headers, except those of its connection, into the answer.
func (x *exchange) copyHeader(targetHeader http.Header) {
	header := x.w.Header()
	closing := header.Get("Connection") == "close"
	for name, values := range targetHeader {
		header[name] = values
	}
	removeHopByHopHeaders(header)
	if closing {
		header.Set("Connection", "close")
	}
	if _, given := targetHeader["Content-Type"]; !given {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
}

// connectionOptions lists the headers that a Connection header names.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}
