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
	removalBound = 5 * time.Second
	// applyBound is the time after which hosts in touch with the platform know a change.
	applyBound  = 3 * time.Second
	quotaWindow = 5 * time.Second
)

// tolerance is by how much quotas may be exceeded.
var tolerance = quota.Tolerance{Window: quotaWindow, Overage: 0.1, Slack: 20}

func keyHolder(name string, q routing.Quota) routing.Customer {
	return routing.Customer{Name: name, Keys: []routing.KeyDigest{routing.DigestKey(name + "-key")}, Quota: q}
}

// newKeyed starts a cluster whose callers need the keys of customers.
func newKeyed(t *testing.T, customers ...routing.Customer) *cluster {
	c := emptyCluster(t)
	c.customers, c.keyed = customers, true
	return c.start(4)
}

// configWatch is how long a watch of the configuration waits: shorter where the removal of
// keys is bounded.
func (c *cluster) configWatch(keyed time.Duration) time.Duration {
	if c.keyed {
		return keyed
	}
	return watchFor
}

// keyRules are those of a deployment that bounds the removal of keys to removalBound.
func (c *cluster) keyRules() entry.KeyRules {
	if !c.keyed {
		return entry.KeyRules{}
	}
	return entry.KeyRules{MaxAge: removalBound * 4 / 5, UnknownKeyMaxAge: removalBound * 2 / 5}
}

// press sends calls of a customer, at so many a second, through all entry hosts in turn.
func (k *caller) press(customer string, rate int, until <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-until:
			return
		case <-tick.C:
			calls.Go(func() { k.send("", "/look/", "", n, map[string]string{ownheaders.Key: customer + "-key"}) })
		}
	}
}

// runsOf returns what ran for a customer, in order of the time at which its caller sent it.
func (c *cluster) runsOf(k *caller, customer string) []ranCall {
	sent := map[string]time.Time{}
	for _, t := range k.tries {
		sent[t.ID] = t.Sent
	}
	var list []ranCall
	for _, e := range slices.Concat(c.plain, c.engines) {
		for _, r := range e.Runs() {
			if r.Customer == customer {
				list = append(list, ranCall{Run: r, sent: sent[r.ID]})
			}
		}
	}
	slices.SortFunc(list, func(a, b ranCall) int { return a.sent.Compare(b.sent) })
	return list
}

type ranCall struct {
	standin.Run
	sent time.Time
}

// cutHost cuts an entry host off from the platform and from all history hosts; callers and
// targets reach it.
func (c *cluster) cutHost(e *entryHost, on bool) {
	c.store.Cut(e.place, on)
	for _, h := range c.history {
		c.net.Cut(e.place, h.place, on)
	}
}

// customerFault is what happens around the change of a configuration, or under a load.
type customerFault struct {
	name   string
	inject func(c *cluster)
	mend   func(c *cluster)
	// touched reports whether all hosts are in touch with the platform all the while.
	touched bool
}

var customerFaults = []customerFault{
	{"calm", func(*cluster) {}, func(*cluster) {}, true},
	{"the platform is down", func(c *cluster) { c.store.SetDown(true) }, func(c *cluster) { c.store.SetDown(false) }, false},
	{"an entry host is cut off", func(c *cluster) { c.cutHost(c.entries[0], true) }, func(c *cluster) { c.cutHost(c.entries[0], false) }, false},
	{"the platform turns most hosts away", func(c *cluster) {
		for _, e := range c.entries {
			c.store.Cut(e.place, true)
		}
		for _, h := range c.history[1:] {
			c.store.Cut(h.place, true)
		}
	}, func(c *cluster) {
		for _, e := range c.entries {
			c.store.Cut(e.place, false)
		}
		for _, h := range c.history {
			c.store.Cut(h.place, false)
		}
	}, false},
	{"a history host is killed and starts again", func(c *cluster) {
		h := c.killHistory(0)
		time.Sleep(500 * time.Millisecond)
		c.restartHistory(h)
	}, func(*cluster) {}, false},
	{"all history hosts are killed and start again", func(c *cluster) {
		for i := range c.history {
			c.killHistory(i)
		}
		for _, h := range slices.Clone(c.history) {
			c.restartHistory(h)
		}
	}, func(*cluster) {}, false},
	{"history hosts stop and go on", func(c *cluster) {
		for _, h := range c.history[:2] {
			c.net.Freeze(h.place, true)
		}
	}, func(c *cluster) {
		for _, h := range c.history[:2] {
			c.net.Freeze(h.place, false)
		}
	}, false},
}

// customerOutcome is what one of customerFaults left behind.
type customerOutcome struct {
	tries []try
	// ran is by customer.
	ran map[string][]ranCall
	// changed is when the operator changed the configuration, mended when the fault has been
	// over for a while, took how long it all took.
	changed, mended time.Time
	took            time.Duration
}

// pressed carries a fault out while customers send calls, at so many a second each.
func (c *cluster) pressed(rates map[string]int, during func(o *customerOutcome)) *customerOutcome {
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	over := make(chan struct{})
	began := time.Now()
	var work sync.WaitGroup
	for customer, rate := range rates {
		work.Go(func() { k.press(customer, rate, over) })
	}
	o := &customerOutcome{ran: map[string][]ranCall{}}
	during(o)
	close(over)
	work.Wait()
	o.tries, o.took = k.tries, time.Since(began)
	for customer := range rates {
		o.ran[customer] = c.runsOf(k, customer)
	}
	return o
}

// carryOutRemoval takes the key of customer a away in the middle of a fault.
func carryOutRemoval(t *testing.T, f customerFault) *customerOutcome {
	c := newKeyed(t, keyHolder("a", routing.Quota{}), keyHolder("b", routing.Quota{}))
	defer c.close()
	return c.pressed(map[string]int{"a": 20, "b": 20}, func(o *customerOutcome) {
		time.Sleep(2 * time.Second)
		f.inject(c)
		c.customers = c.customers[1:]
		o.changed = time.Now()
		c.configure(10 * time.Second)
		time.Sleep(9 * time.Second)
		f.mend(c)
		time.Sleep(3 * time.Second)
		o.mended = time.Now()
		time.Sleep(2 * time.Second)
	})
}

// The quotas of carryOutQuota: one customer sends eight times its own, the other less.
const (
	hotRate, hotBurst = 20, 20
	calmRate          = 16
)

func carryOutQuota(t *testing.T, f customerFault) *customerOutcome {
	c := newKeyed(t, keyHolder("hot", routing.Quota{Rate: hotRate, Burst: hotBurst}), keyHolder("calm", routing.Quota{Rate: calmRate, Burst: calmRate}))
	defer c.close()
	return c.pressed(map[string]int{"hot": 8 * hotRate, "calm": calmRate * 5 / 8}, func(*customerOutcome) {
		time.Sleep(3 * time.Second)
		f.inject(c)
		time.Sleep(6 * time.Second)
		f.mend(c)
		time.Sleep(4 * time.Second)
	})
}

// eachFault checks the outcome of each of customerFaults.
func eachFault(t *testing.T, outcomes map[string]*customerOutcome, check func(t *testing.T, f customerFault, o *customerOutcome)) {
	all(t)
	for _, f := range customerFaults {
		if o := outcomes[f.name]; o != nil {
			t.Run(f.name, func(t *testing.T) { check(t, f, o) })
		}
	}
}

// A key that is taken away serves for no call that is sent later than the bound, at any
// host, and for none later than the shorter bound where all are in touch.
func TestRemovedKeysServeNobody(t *testing.T) {
	eachFault(t, removals, func(t *testing.T, f customerFault, o *customerOutcome) {
		bound := removalBound
		if f.touched {
			bound = applyBound
		}
		require.NotEmpty(t, o.ran["a"])
		for _, r := range o.ran["a"] {
			require.LessOrEqual(t, r.sent.Sub(o.changed), bound, "call %s", r.ID)
		}
		for _, x := range o.tries {
			if x.Status == http.StatusUnauthorized {
				require.Equal(t, "a", x.Customer, "%+v", x)
				require.True(t, x.Ended.After(o.changed), "%+v", x)
			}
		}
	})
}

// Customers whose keys stay are served again by all hosts once a fault is over.
func TestOtherCustomersAreServedAfterAFault(t *testing.T) {
	eachFault(t, removals, func(t *testing.T, f customerFault, o *customerOutcome) {
		served := 0
		for _, x := range o.tries {
			if x.Customer == "b" && x.Sent.After(o.mended) {
				require.Equal(t, http.StatusOK, x.Status, "%+v", x)
				served++
			}
		}
		require.Positive(t, served)
	})
}

// worstWindow is the most calls that are both sent and begun in any window.
func worstWindow(runs []ranCall) int {
	most := 0
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// A customer at eight times its quota runs no more than it allows in any window, through
// all hosts and whatever fails.
func TestQuotasHoldOverAllHosts(t *testing.T) {
	eachFault(t, quotaCases, func(t *testing.T, f customerFault, o *customerOutcome) {
		allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+tolerance.Overage) + tolerance.Slack
		require.NotEmpty(t, o.ran["hot"])
		require.LessOrEqual(t, float64(worstWindow(o.ran["hot"])), allowed)
	})
}

// While nothing fails, a customer gets all of its quota, and one that stays below its own
// is refused nothing.
func TestQuotasAreGrantedWhole(t *testing.T) {
	eachFault(t, quotaCases, func(t *testing.T, f customerFault, o *customerOutcome) {
		if !f.touched {
			t.Skip("parts of a quota are lost while history hosts are out of reach")
		}
		require.GreaterOrEqual(t, float64(len(o.ran["hot"])), 0.95*hotRate*o.took.Seconds())
		for _, x := range o.tries {
			want := []int{http.StatusOK}
			if x.Customer == "hot" {
				want = append(want, http.StatusTooManyRequests)
			}
			require.Contains(t, want, x.Status, "%+v", x)
		}
	})
}
