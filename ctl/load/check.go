package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
)

// checkOrders compares the outcomes that callers received for their orders with the
// orders that the services executed.
func (r *runner) checkOrders(ctx context.Context, report *Report) {
	if len(r.plan.OrderServices) == 0 {
		return
	}
	executed := map[string]int{}
	for _, url := range r.plan.OrderServices {
		var orders []standin.Order
		if err := r.get(ctx, url+"/v1/orders", &orders); err != nil {
			report.Violations = append(report.Violations, "orders of "+url+" cannot be read: "+err.Error())
			return
		}
		for _, o := range orders {
			var body map[string]string
			if json.Unmarshal(o.Body, &body) == nil {
				executed[body["order"]]++
			}
		}
	}
	for id, order := range r.orders {
		executions := executed[id]
		if executions > 1 || order.outcome == "answered" && executions == 0 || order.outcome == string(failure.RanNo) && executions > 0 {
			report.Violations = append(report.Violations, fmt.Sprintf("%s: %s was executed %d times, but its caller received the outcome %s", order.program, id, executions, order.outcome))
		}
	}
	sort.Strings(report.Violations)
}

// releaseTimeout bounds how long after the run an engine may still cache a program that
// has ended.
const releaseTimeout = 10 * time.Second

// checkEngines checks the order in which the engines started the calls of each
// program, and that no engine still caches a program that has ended.
func (r *runner) checkEngines(ctx context.Context, report *Report) {
	if len(r.plan.Engines) == 0 {
		return
	}
	var calls []standin.EngineCall
	for _, url := range r.plan.Engines {
		var engineCalls []standin.EngineCall
		if r.get(ctx, url+"/v1/calls", &engineCalls) == nil { // an engine that was killed has no record
			calls = append(calls, engineCalls...)
		}
	}
	report.Violations = append(report.Violations, SequenceViolations(calls)...)
	giveUpAt := time.Now().Add(releaseTimeout)
	for {
		remaining := r.programsStillCached(ctx)
		if len(remaining) == 0 {
			return
		}
		if time.Now().After(giveUpAt) {
			for _, program := range remaining {
				report.Violations = append(report.Violations, program+": still cached after the end of the program")
			}
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// SequenceViolations returns a text for each call that was started after a later call of
// its program. It sorts calls by their start.
func SequenceViolations(calls []standin.EngineCall) []string {
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].At.Before(calls[j].At) })
	latest := map[string]standin.EngineCall{}
	var violations []string
	for _, c := range calls {
		previous := latest[c.Program]
		if c.Sequence < previous.Sequence {
			violations = append(violations, fmt.Sprintf("%s: call %d (%s, epoch %d) was started %s after call %d (%s, epoch %d)",
				c.Program, c.Sequence, c.ID, c.Epoch, c.At.Sub(previous.At), previous.Sequence, previous.ID, previous.Epoch))
			continue
		}
		latest[c.Program] = c
	}
	return violations
}

// programsStillCached returns the ended programs that an engine caches.
func (r *runner) programsStillCached(ctx context.Context) []string {
	cached := map[string]bool{}
	for _, url := range r.plan.Engines {
		var cache struct {
			Programs []string `json:"programs"`
		}
		if r.get(ctx, url+"/v1/cache", &cache) == nil { // an engine that was killed caches nothing
			for _, p := range cache.Programs {
				cached[p] = true
			}
		}
	}
	var remaining []string
	for _, p := range r.endedPrograms {
		if cached[p] {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

// get decodes the JSON at a URL into out.
func (r *runner) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "%s", url)
	}
	resp, err := r.plan.Client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.TargetFailed, "%s", url)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been decoded
	if !httpclient.IsSuccess(resp.StatusCode) {
		return failure.New(failure.TargetFailed, "%s: %s", url, resp.Status)
	}
	return failure.Wrap(json.NewDecoder(resp.Body).Decode(out), failure.TargetFailed, "%s", url)
}
