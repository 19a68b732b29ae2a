package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// Idle times after which a pooled connection is not reused, even if the target would keep it
// open for longer.
const (
	maxIdleTime = 10 * time.Second
	// maxFarNonIdempotentIdleTime applies to requests that must not be repeated, to another data
	// centre that has been silent for farSilenceTimeout. If the network is partitioned, a
	// new connection fails before anything is sent, while on a reused connection the
	// request is lost. As long as the data centre is not silent, the shorter limit would only
	// cost connections.
	maxFarNonIdempotentIdleTime = 500 * time.Millisecond
	// farSilenceTimeout is many times the usual interval between answers from another data
	// centre.
	farSilenceTimeout = 200 * time.Millisecond
)

// minTargetTimeout is the least timeout sent to a target. A smaller one would be sent as
// 0 ms, which means no limit.
const minTargetTimeout = time.Millisecond

// maxPriority is the largest priority value, for the least urgent requests, that targets accept.
const maxPriority = 9

// hopByHopHeaders concern only one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// send sends the request to one target, and starts probes of it if no connection can be
// made.
func (x *exchange) send(ctx context.Context, t balance.TargetInfo, lastEventID string) (*targetpool.Response, error) {
	x.sentAt = time.Now()
	x.firstSentAt = x.sentAt
	return x.host.roundTrip(ctx, t, x.newTargetRequest(t, lastEventID))
}

// roundTrip sends a request to a target and records what the head of the answer says of the
// target. What is no answer of the target to this request is returned as a failure, so that
// no path can pass it on, keep it or count it for the target.
func (h *Host) roundTrip(ctx context.Context, t balance.TargetInfo, req *targetpool.Request) (*targetpool.Response, error) {
	sentAt := time.Now()
	resp, err := h.pool.Do(ctx, req, h.decodeAnswer)
	if err == nil {
		h.Meter.Observe("target_head", time.Since(sentAt))
		h.reachability.recordHeard(t.ID)
		err = checkOrigin(t, resp)
	}
	switch {
	case err == nil:
		h.recordLoadReport(t, resp.Answer)
		return resp, nil
	case failure.Is(err, failure.BadAnswer):
		h.Meter.Count("targets", "bad_answer")
		h.Log.Warn("target sent what is no answer", "request", req.ID, "target", t.ID, "error", err.Error())
	case failure.From(err).Ran == failure.RanNo && ctx.Err() == nil:
		h.reachability.startProbing(t.ID, t.Address)
	}
	return nil, err
}

// isSuccess reports whether the status of an answer means that the target served the request.
func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// checkOrigin returns the failure of an answer that is not the target's own answer to this request: a success must say
// so, and the body of no answer that is passed on may be encoded. It closes such an answer.
func checkOrigin(t balance.TargetInfo, resp *targetpool.Response) error {
	if resp.Answer.NotRun {
		return nil // nothing of it is passed on
	}
	fault := ""
	switch {
	case resp.Answer.Encoded:
		fault = "an encoded body, which no caller asks for"
	case !isSuccess(resp.Status):
		return nil
	case !resp.Answer.Signed:
		fault = "no signature"
	case resp.Answer.ID == "":
		fault = "no request ID" // it may answer an earlier request
	default:
		return nil
	}
	_ = resp.Body.Close() // nothing of it is read
	return failure.Unknown(failure.BadAnswer, "answer of target %s with status %d has %s", t.ID, resp.Status, fault)
}

// decodeAnswer decodes the head of a target's answer. Fields that the target declares to concern only its connection do
// not reach the caller, and so neither sign the answer nor name the request.
func (h *Host) decodeAnswer(status int, header map[string][]string) request.Answer {
	answer := h.Headers.Answer(status, header)
	if !declaresOtherFields(header) {
		return answer
	}
	passedOn := http.Header(header).Clone()
	removeHopByHopHeaders(passedOn)
	remaining := h.Headers.Answer(status, passedOn)
	answer.Signed, answer.ID = remaining.Signed, remaining.ID
	return answer
}

// declaresOtherFields reports whether the Connection header names a field that is there and not in hopByHopHeaders.
func declaresOtherFields(header http.Header) bool {
	return slices.ContainsFunc(connectionOptions(header), func(name string) bool {
		name = http.CanonicalHeaderKey(name)
		return header[name] != nil && !slices.Contains(hopByHopHeaders, name)
	})
}

// newTargetRequest builds the request to a target.
func (x *exchange) newTargetRequest(t balance.TargetInfo, lastEventID string) *targetpool.Request {
	header := x.host.Headers.Outgoing(x.r.Header, request.SendOptions{
		Instance: t.ID, Timeout: max(minTargetTimeout, time.Until(x.deadline)), LastEventID: lastEventID,
		Priority: min(maxPriority, x.priority()), HasPriority: x.engine != nil,
		HideKey: x.host.table.Load().RequiresKey(), Customer: x.customerName(),
	})
	removeHopByHopHeaders(header)
	idleTime := maxIdleTime
	notIdempotent := x.route.Kind != routing.Idempotent
	far := t.DataCentre != x.host.DataCentre
	if notIdempotent && far && !x.host.heardFrom(t.DataCentre, farSilenceTimeout) {
		idleTime = maxFarNonIdempotentIdleTime
	}
	return &targetpool.Request{
		Address: t.Address, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, ID: x.call.ID, MaxIdle: idleTime,
		Bytes: x.host.targetBytes.counter(x.isTurn(), far),
	}
}

// removeHopByHopHeaders removes the headers that concern only one connection.
func removeHopByHopHeaders(header http.Header) {
	for _, name := range connectionOptions(header) {
		header.Del(name)
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
