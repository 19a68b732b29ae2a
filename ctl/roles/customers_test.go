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
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

const (
	// removalBound is the time after which a removed key is used by no host.
	maxRemovalDelay = 5 * time.Second
	// applyBound is the time after which hosts in touch with the platform know a change.
	maxApplyDelay = 3 * time.Second
	quotaWindow   = 5 * time.Second
)

// tolerance is by how much quotas may be exceeded.
var quotaTolerance = quota.Tolerance{Window: quotaWindow, Overage: 0.1, Slack: 20}

func newCustomer(name string, q routing.Quota) routing.Customer {
	return routing.Customer{Name: name, Keys: []routing.KeyDigest{routing.DigestKey(name + "-key")}, Quota: q}
}

// newKeyed starts a cluster whose callers need the keys of customers.
func newClusterWithKeys(t *testing.T, customers ...routing.Customer) *cluster {
	c := emptyCluster(t)
	c.customers, c.requiresKeys = customers, true
	return c.start(4)
}

// configWatch is how long a watch of the configuration waits: shorter where the removal of
// keys is bounded.
func (c *cluster) configWatchTimeout(keyedTimeout time.Duration) time.Duration {
	if c.requiresKeys {
		return keyedTimeout
	}
	return watchTimeout
}

// keyRules are those of a deployment that bounds the removal of keys to removalBound.
func (c *cluster) keyRules() entry.KeyRules {
	if !c.requiresKeys {
		return entry.KeyRules{}
	}
	return entry.KeyRules{MaxAge: maxRemovalDelay * 4 / 5, UnknownKeyMaxAge: maxRemovalDelay * 2 / 5}
}

// press sends calls of a customer, at so many a second, through all entry hosts in turn.
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

// runsOf returns what ran for a customer, in order of the time at which its caller sent it.
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

type executedCall struct {
	standin.Run
	sentAt time.Time
}

// cutHost cuts an entry host off from the platform and from all history hosts; callers and
// targets reach it.
func (c *cluster) isolateEntryHost(e *entryHost, cut bool) {
	c.store.Cut(e.ip, cut)
	for _, h := range c.historyHosts {
		c.net.Cut(e.ip, h.ip, cut)
	}
}

// customerFault is what happens around the change of a configuration, or under a load.
type customerFault struct {
	name   string
	inject func(c *cluster)
	repair func(c *cluster)
	// touched reports whether all hosts are in touch with the platform all the while.
	staysConnected bool
}

var customerFaults = []customerFault{
	{"calm", func(*cluster) {}, func(*cluster) {}, true},
	{"the platform is down", func(c *cluster) { c.store.SetDown(true) }, func(c *cluster) { c.store.SetDown(false) }, false},
	{"an entry host is cut off", func(c *cluster) { c.isolateEntryHost(c.entryHosts[0], true) }, func(c *cluster) { c.isolateEntryHost(c.entryHosts[0], false) }, false},
	{"the platform turns most hosts away", func(c *cluster) {
		for _, e := range c.entryHosts {
			c.store.Cut(e.ip, true)
		}
		for _, h := range c.historyHosts[1:] {
			c.store.Cut(h.ip, true)
		}
	}, func(c *cluster) {
		for _, e := range c.entryHosts {
			c.store.Cut(e.ip, false)
		}
		for _, h := range c.historyHosts {
			c.store.Cut(h.ip, false)
		}
	}, false},
	{"a history host is killed and starts again", func(c *cluster) {
		h := c.killHistoryHost(0)
		time.Sleep(500 * time.Millisecond)
		c.restartHistoryHost(h)
	}, func(*cluster) {}, false},
	{"all history hosts are killed and start again", func(c *cluster) {
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
		for _, h := range slices.Clone(c.historyHosts) {
			c.restartHistoryHost(h)
		}
	}, func(*cluster) {}, false},
	{"history hosts stop and go on", func(c *cluster) {
		for _, h := range c.historyHosts[:2] {
			c.net.Freeze(h.ip, true)
		}
	}, func(c *cluster) {
		for _, h := range c.historyHosts[:2] {
			c.net.Freeze(h.ip, false)
		}
	}, false},
}

// customerOutcome is what one of customerFaults left behind.
type customerOutcome struct {
	attempts []attempt
	// ran is by customer.
	executed map[string][]executedCall
	// changed is when the operator changed the configuration, mended when the fault has been
	// over for a while, took how long it all took.
	changedAt, repairedAt time.Time
	duration              time.Duration
}

// pressed carries a fault out while customers send calls, at so many a second each.
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

// carryOutRemoval takes the key of customer a away in the middle of a fault.
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

// The quotas of carryOutQuota: one customer sends eight times its own, the other less.
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

// eachFault checks the outcome of each of customerFaults.
func forEachCustomerFault(t *testing.T, outcomes map[string]*customerOutcome, check func(t *testing.T, f customerFault, o *customerOutcome)) {
	runAllCases(t)
	for _, f := range customerFaults {
		if o := outcomes[f.name]; o != nil {
			t.Run(f.name, func(t *testing.T) { check(t, f, o) })
		}
	}
}

// A key that is taken away serves for no call that is sent later than the bound, at any
// host, and for none later than the shorter bound where all are in touch.
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

// Customers whose keys stay are served again by all hosts once a fault is over.
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

// worstWindow is the most calls that are both sent and begun in any window.
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

// A customer at eight times its quota runs no more than it allows in any window, through
// all hosts and whatever fails.
func TestQuotaHoldsAcrossAllHosts(t *testing.T) {
	forEachCustomerFault(t, quotaOutcomes, func(t *testing.T, f customerFault, o *customerOutcome) {
		allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaTolerance.Overage) + quotaTolerance.Slack
		require.NotEmpty(t, o.executed["hot"])
		require.LessOrEqual(t, float64(maxCallsInWindow(o.executed["hot"])), allowed)
	})
}

// While nothing fails, a customer gets all of its quota, and one that stays below its own
// is refused nothing.
func TestFullQuotaIsGrantedWithoutFaults(t *testing.T) {
	forEachCustomerFault(t, quotaOutcomes, func(t *testing.T, f customerFault, o *customerOutcome) {
		if !f.staysConnected {
			t.Skip("parts of a quota are lost while history hosts are out of reach")
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
