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
)

// checkOrders compares what callers were told with what was executed.
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
	for id, p := range r.orders {
		n := executed[id]
		if n > 1 || p.outcome == "answered" && n == 0 || p.outcome == string(failure.RanNo) && n > 0 {
			report.Violations = append(report.Violations, fmt.Sprintf("%s: %s was executed %d times, its caller was told %s", p.program, id, n, p.outcome))
		}
	}
	sort.Strings(report.Violations)
}

// releaseWithin is how long an engine may keep the cache of an ended program
// after the run.
const releaseWithin = 10 * time.Second

// checkEngines checks the order in which calls were started, and that no cache
// is left of programs that have ended.
func (r *runner) checkEngines(ctx context.Context, report *Report) {
	if len(r.plan.Engines) == 0 {
		return
	}
	var calls []standin.EngineCall
	for _, url := range r.plan.Engines {
		var some []standin.EngineCall
		if r.get(ctx, url+"/v1/calls", &some) == nil { // one that was killed knows nothing
			calls = append(calls, some...)
		}
	}
	report.Violations = append(report.Violations, SequenceViolations(calls)...)
	limit := time.Now().Add(releaseWithin)
	for {
		left := r.heldCache(ctx)
		if len(left) == 0 {
			return
		}
		if time.Now().After(limit) {
			for _, l := range left {
				report.Violations = append(report.Violations, l+": cache is kept after its end")
			}
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// SequenceViolations finds calls of a program that were started after a later one.
func SequenceViolations(calls []standin.EngineCall) []string {
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].At.Before(calls[j].At) })
	last := map[string]standin.EngineCall{}
	var bad []string
	for _, c := range calls {
		before := last[c.Program]
		if c.Sequence < before.Sequence {
			bad = append(bad, fmt.Sprintf("%s: call %d (%s, epoch %d) was started %s after call %d (%s, epoch %d)",
				c.Program, c.Sequence, c.ID, c.Epoch, c.At.Sub(before.At), before.Sequence, before.ID, before.Epoch))
			continue
		}
		last[c.Program] = c
	}
	return bad
}

func (r *runner) heldCache(ctx context.Context) []string {
	held := map[string]bool{}
	for _, url := range r.plan.Engines {
		var cache struct {
			Programs []string `json:"programs"`
		}
		if r.get(ctx, url+"/v1/cache", &cache) == nil { // one that was killed keeps nothing
			for _, p := range cache.Programs {
				held[p] = true
			}
		}
	}
	var left []string
	for _, p := range r.ended {
		if held[p] {
			left = append(left, p)
		}
	}
	return left
}

func (r *runner) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "%s", url)
	}
	resp, err := r.plan.Client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.TargetFailed, "%s", url)
	}
	defer func() { _ = resp.Body.Close() }() // decoded
	return failure.Wrap(json.NewDecoder(resp.Body).Decode(out), failure.TargetFailed, "%s", url)
}
