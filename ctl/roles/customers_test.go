package roles

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/daemon/entry"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

const (
	// maxRemovalDelay is the time after which no host accepts a removed key.
	maxRemovalDelay = 5 * time.Second
	// maxApplyDelay is the time within which hosts connected to the platform apply a change.
	maxApplyDelay = 3 * time.Second
	quotaWindow   = 5 * time.Second
)

// quotaTolerance is the amount by which quotas may be exceeded.
var quotaTolerance = quota.Tolerance{Window: quotaWindow, Overage: 0.1, Slack: 20}

func newCustomer(name string, q routing.Quota) routing.Customer {
	return routing.Customer{Name: name, Keys: []routing.KeyDigest{routing.DigestKey(name + "-key")}, Quota: q}
}

// newClusterWithKeys starts a cluster whose callers must present a key of one of the customers.
func newClusterWithKeys(t *testing.T, customers ...routing.Customer) *cluster {
	c := emptyCluster(t)
	c.customers, c.requiresKeys = customers, true
	return c.start(4)
}

// role returns the timing of the hosts: with keys, that of a deployment that bounds the delay of
// key removals to maxRemovalDelay.
func (c *cluster) role() *settings.Role {
	set := &settings.Role{ContactWindow: contactWindow, MaxConfigDelay: maxConfigDelay, MaxDrainDelay: maxDrainDelay}
	if c.requiresKeys {
		set.MaxKeyRemovalDelay = maxRemovalDelay
	}
	return set
}

// keyRules returns the key rules of a deployment that bounds the delay of key removals to
// maxRemovalDelay, or no rules if callers need no keys.
func (c *cluster) keyRules() entry.KeyRules {
	if !c.requiresKeys {
		return entry.KeyRules{}
	}
	return entry.KeyRules{MaxAge: maxRemovalDelay * 4 / 5, UnknownMaxAge: maxRemovalDelay * 2 / 5}
}

// sendLoad sends rate calls of a customer per second, through the entry hosts in turn, until
// stop is closed.
func (k *caller) sendLoad(customer string, rate int, stop <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
			calls.Go(func() { k.send("", "/look/", "", n, map[string]string{ownheaders.Key: customer + "-key"}) })
		}
	}
}

// executedCalls returns the calls of a customer that targets ran, ordered by the time at which
// the caller sent them.
func (c *cluster) executedCalls(k *caller, customer string) []executedCall {
	sentAt := map[string]time.Time{}
	for _, a := range k.attempts {
		sentAt[a.ID] = a.SentAt
	}
	var list []executedCall
	for _, e := range slices.Concat(c.plainTargets, c.engines) {
		for _, r := range e.Runs() {
			if r.Customer == customer {
				list = append(list, executedCall{Run: r, sentAt: sentAt[r.ID]})
			}
		}
	}
	slices.SortFunc(list, func(a, b executedCall) int { return a.sentAt.Compare(b.sentAt) })
	return list
}

// executedCall is a call that a target ran, with the time at which its caller sent it.
type executedCall struct {
	standin.Run
	sentAt time.Time
}

// isolateEntryHost separates an entry host from the platform and from all history hosts, or
// reconnects it if isolated is false. It stays connected to callers and targets.
func (c *cluster) isolateEntryHost(e *entryHost, isolated bool) {
	c.store.SetPartitioned(e.ip, isolated)
	for _, h := range c.historyHosts {
		c.net.SetPartitioned(e.ip, h.ip, isolated)
	}
}

// customerFault is a fault that is injected before a configuration change or under load, and
// repaired afterwards.
type customerFault struct {
	name   string
	inject func(c *cluster)
	repair func(c *cluster)
	// staysConnected reports whether all hosts stay connected to the platform.
	staysConnected bool
}

var customerFaults = []customerFault{
	{"no fault", func(*cluster) {}, func(*cluster) {}, true},
	{"platform outage", func(c *cluster) { c.store.SetDown(true) }, func(c *cluster) { c.store.SetDown(false) }, false},
	{"entry host isolated from platform and history hosts", func(c *cluster) { c.isolateEntryHost(c.entryHosts[0], true) }, func(c *cluster) { c.isolateEntryHost(c.entryHosts[0], false) }, false},
	{"platform unreachable from all hosts but one history host", func(c *cluster) {
		for _, e := range c.entryHosts {
			c.store.SetPartitioned(e.ip, true)
		}
		for _, h := range c.historyHosts[1:] {
			c.store.SetPartitioned(h.ip, true)
		}
	}, func(c *cluster) {
		for _, e := range c.entryHosts {
			c.store.SetPartitioned(e.ip, false)
		}
		for _, h := range c.historyHosts {
			c.store.SetPartitioned(h.ip, false)
		}
	}, false},
	{"one history host killed and restarted", func(c *cluster) {
		h := c.killHistoryHost(0)
		time.Sleep(500 * time.Millisecond)
		c.restartHistoryHost(h)
	}, func(*cluster) {}, false},
	{"all history hosts killed and restarted", func(c *cluster) {
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
		for _, h := range slices.Clone(c.historyHosts) {
			c.restartHistoryHost(h)
		}
	}, func(*cluster) {}, false},
	{"two history hosts frozen and resumed", func(c *cluster) {
		for _, h := range c.historyHosts[:2] {
			c.net.SetFrozen(h.ip, true)
		}
	}, func(c *cluster) {
		for _, h := range c.historyHosts[:2] {
			c.net.SetFrozen(h.ip, false)
		}
	}, false},
}

// customerOutcome is the result of running one of customerFaults under load.
type customerOutcome struct {
	attempts []attempt
	// executed are the calls that targets ran, by customer.
	executed map[string][]executedCall
	// changedAt is the time of the operator's configuration change, repairedAt a time at which
	// the fault has been repaired for a while, and duration the time for which load was sent.
	changedAt, repairedAt time.Time
	duration              time.Duration
}

// runUnderLoad runs scenario while each customer sends calls at its rate per second.
func (c *cluster) runUnderLoad(rates map[string]int, scenario func(o *customerOutcome)) *customerOutcome {
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	stopLoad := make(chan struct{})
	startedAt := time.Now()
	var work sync.WaitGroup
	for customer, rate := range rates {
		work.Go(func() { k.sendLoad(customer, rate, stopLoad) })
	}
	o := &customerOutcome{executed: map[string][]executedCall{}}
	scenario(o)
	close(stopLoad)
	work.Wait()
	o.attempts, o.duration = k.attempts, time.Since(startedAt)
	for customer := range rates {
		o.executed[customer] = c.executedCalls(k, customer)
	}
	return o
}

// runKeyRemoval removes the key of customer a during a fault.
func runKeyRemoval(t *testing.T, f customerFault) *customerOutcome {
	c := newClusterWithKeys(t, newCustomer("a", routing.Quota{}), newCustomer("b", routing.Quota{}))
	defer c.close()
	return c.runUnderLoad(map[string]int{"a": 20, "b": 20}, func(o *customerOutcome) {
		time.Sleep(2 * time.Second)
		f.inject(c)
		c.customers = c.customers[1:]
		o.changedAt = time.Now()
		c.configure(10 * time.Second)
		time.Sleep(9 * time.Second)
		f.repair(c)
		time.Sleep(3 * time.Second)
		o.repairedAt = time.Now()
		time.Sleep(2 * time.Second)
	})
}

// Quotas of runQuotaCase, in calls per second and calls: customer hot sends calls at eight times
// its rate, customer calm at five eighths of its rate.
const (
	hotRate, hotBurst = 20, 20
	calmRate          = 16
)

func runQuotaCase(t *testing.T, f customerFault) *customerOutcome {
	c := newClusterWithKeys(t, newCustomer("hot", routing.Quota{Rate: hotRate, Burst: hotBurst}), newCustomer("calm", routing.Quota{Rate: calmRate, Burst: calmRate}))
	defer c.close()
	return c.runUnderLoad(map[string]int{"hot": 8 * hotRate, "calm": calmRate * 5 / 8}, func(*customerOutcome) {
		time.Sleep(3 * time.Second)
		f.inject(c)
		time.Sleep(6 * time.Second)
		f.repair(c)
		time.Sleep(4 * time.Second)
	})
}

// forEachCustomerFault runs check on the outcome of each of customerFaults.
func forEachCustomerFault(t *testing.T, outcomes map[string]*customerOutcome, check func(t *testing.T, f customerFault, o *customerOutcome)) {
	runAllCases(t)
	for _, f := range customerFaults {
		if o := outcomes[f.name]; o != nil {
			t.Run(f.name, func(t *testing.T) { check(t, f, o) })
		}
	}
}

// No host may run a call with a removed key that was sent more than maxRemovalDelay after the
// removal, or maxApplyDelay if all hosts stay connected to the platform. Calls with a valid key
// must not be rejected as unauthorized.
func TestRemovedKeyIsRejectedWithinBound(t *testing.T) {
	forEachCustomerFault(t, keyRemovals, func(t *testing.T, f customerFault, o *customerOutcome) {
		bound := maxRemovalDelay
		if f.staysConnected {
			bound = maxApplyDelay
		}
		require.NotEmpty(t, o.executed["a"])
		for _, r := range o.executed["a"] {
			require.LessOrEqual(t, r.sentAt.Sub(o.changedAt), bound, "call %s", r.ID)
		}
		for _, a := range o.attempts {
			if a.Status == http.StatusUnauthorized {
				require.Equal(t, "a", a.Customer, "%+v", a)
				require.True(t, a.EndedAt.After(o.changedAt), "%+v", a)
			}
		}
	})
}

// Customers with valid keys must be served again by all hosts once a fault is over.
func TestOtherCustomersAreServedAfterFault(t *testing.T) {
	forEachCustomerFault(t, keyRemovals, func(t *testing.T, f customerFault, o *customerOutcome) {
		served := 0
		for _, a := range o.attempts {
			if a.Customer == "b" && a.SentAt.After(o.repairedAt) {
				require.Equal(t, http.StatusOK, a.Status, "%+v", a)
				served++
			}
		}
		require.Positive(t, served)
	})
}

// maxCallsInWindow returns the largest number of calls that were both sent and started within
// one quotaWindow.
func maxCallsInWindow(runs []executedCall) int {
	maxCalls := 0
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.sentAt) <= quotaWindow {
				n++
			}
		}
		maxCalls = max(maxCalls, n)
	}
	return maxCalls
}

// A customer that sends at eight times its quota must not run more calls in any window than
// the quota and its tolerance allow, over all hosts and under every fault.
func TestQuotaHoldsAcrossAllHosts(t *testing.T) {
	forEachCustomerFault(t, quotaOutcomes, func(t *testing.T, f customerFault, o *customerOutcome) {
		allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaTolerance.Overage) + quotaTolerance.Slack
		require.NotEmpty(t, o.executed["hot"])
		require.LessOrEqual(t, float64(maxCallsInWindow(o.executed["hot"])), allowed)
	})
}

// Without a fault, a customer must get at least 95 % of its quota, and no call of a customer
// below its quota may be refused.
func TestFullQuotaIsGrantedWithoutFaults(t *testing.T) {
	forEachCustomerFault(t, quotaOutcomes, func(t *testing.T, f customerFault, o *customerOutcome) {
		if !f.staysConnected {
			t.Skip("parts of a quota are lost while history hosts are unreachable")
		}
		require.GreaterOrEqual(t, float64(len(o.executed["hot"])), 0.95*hotRate*o.duration.Seconds())
		for _, a := range o.attempts {
			want := []int{http.StatusOK}
			if a.Customer == "hot" {
				want = append(want, http.StatusTooManyRequests)
			}
			require.Contains(t, want, a.Status, "%+v", a)
		}
	})
}
