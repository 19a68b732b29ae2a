package entry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// keyed puts a newer version in force, with customers and the route /open/ that is public.
func (s *system) keyed(customers ...*routing.Customer) {
	s.t.Helper()
	c, err := routing.NewCustomers(customers)
	require.NoError(s.t, err)
	old := s.host.table.Load()
	open := &routing.Route{Host: "example", Prefix: "/open/", Services: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2, Public: true}
	service, _ := old.Service("s")
	routes := append(old.Routes(), open)
	s.host.SetTable(routing.NewTable(old.Version+1, old.Limits, []*routing.Service{service}, routes).RequireKeys(c))
	s.host.confirmConfig(time.Now())
}

// customer has one key, which is its name with "-key" behind.
func customer(name string) *routing.Customer {
	return &routing.Customer{Name: name, Keys: []routing.KeyDigest{routing.DigestKey(name + "-key")}}
}

func answering(_ int, _ received, id string) (string, bool) { return whole(id, "ok"), false }

func TestKeyDecidesWhoseTheRequestIs(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.keyed(customer("a"), customer("b"))
	for name, c := range map[string]struct {
		path, key, claimed string
		status             int
		customer           string
	}{
		"a":           {"/plain/", "a-key", "", http.StatusOK, "a"},
		"b":           {"/plain/", "b-key", "a", http.StatusOK, "b"},
		"unknown key": {"/plain/", "c-key", "a", http.StatusUnauthorized, ""},
		"no key":      {"/plain/", "", "a", http.StatusUnauthorized, ""},
		"public":      {"/open/", "", "a", http.StatusOK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(x.requests())
			got := s.post(c.path, "", ownheaders.ID, name, ownheaders.Key, c.key, ownheaders.Customer, c.claimed)
			require.Equal(t, c.status, got.status)
			seen := x.requests()[before:]
			if c.status != http.StatusOK {
				require.Empty(t, seen)
				return
			}
			require.Equal(t, c.customer, seen[0].Customer)
			require.Empty(t, seen[0].Key)
		})
	}
}

func TestWithoutCustomersNoKeyIsNeeded(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "of another system").status)
	require.Equal(t, "of another system", x.requests()[0].Key)
}

func TestRemovedKeyIsRefusedAtOnce(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.keyed(customer("a"), customer("b"))
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	s.keyed(customer("b"))
	require.Equal(t, http.StatusUnauthorized, s.post("/plain/", "", ownheaders.ID, "2", ownheaders.Key, "a-key").status)
	require.Len(t, x.requests(), 1)
}

// A key that is taken away while a request is repeated is not used for the repeat.
func TestRepeatNeedsTheKeyToo(t *testing.T) {
	var s *system
	breaking := func(n int, _ received, id string) (string, bool) {
		s.keyed(customer("b"))
		return refused(id), false
	}
	a, b := newTarget(t, "t1", breaking), newTarget(t, "t2", breaking)
	s = newSystem(t, a, b)
	s.keyed(customer("a"), customer("b"))
	require.Equal(t, http.StatusUnauthorized, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	require.Equal(t, 1, len(a.requests())+len(b.requests()))
}

// A host that has not heard of the platform for the longest time allowed serves no keys,
// says so, and serves public routes; the first sound word ends that.
func TestStaleConfigurationServesNoKeys(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.host.KeyRules = KeyRules{MaxAge: time.Hour, UnknownKeyMaxAge: time.Minute}
	s.keyed(customer("a"))
	s.host.confirmedAt.Store(int64(s.host.now() - 2*time.Hour))
	require.False(t, s.host.Ready())
	got := s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, x.requests())
	require.Equal(t, http.StatusOK, s.post("/open/", "", ownheaders.ID, "2").status)
	s.host.confirmConfig(time.Now())
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "3", ownheaders.Key, "a-key").status)
}

// A host whose word of the platform is not new does not know that a key is unknown.
func TestUnknownKeyIsSureOnlyWithANewWord(t *testing.T) {
	s := newSystem(t, newTarget(t, "t1", answering))
	s.host.KeyRules = KeyRules{MaxAge: time.Hour, UnknownKeyMaxAge: time.Minute}
	s.keyed(customer("a"))
	s.host.confirmedAt.Store(int64(s.host.now() - 2*time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "b-key").status)
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "2", ownheaders.Key, "a-key").status)
}

// While the platform is away for all, a request waits for it: one that is answered soon is
// served then.
func TestRequestWaitsForTheConfiguration(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.host.KeyRules = KeyRules{MaxAge: time.Hour, UnknownKeyMaxAge: time.Minute}
	s.keyed(customer("a"))
	s.host.confirmedAt.Store(int64(s.host.now() - 2*time.Hour))
	answers := make(chan answer)
	go func() { answers <- s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key") }()
	require.Eventually(t, func() bool { return s.host.activeRequests() == 1 }, time.Second, time.Millisecond)
	s.host.confirmConfig(time.Now())
	require.Equal(t, http.StatusOK, (<-answers).status)
}

func TestConfirmationNeverGoesBack(t *testing.T) {
	s := newSystem(t)
	now := time.Now()
	s.host.confirmConfig(now)
	at := s.host.confirmedAt.Load()
	s.host.confirmConfig(now.Add(-time.Second))
	s.host.confirmConfig(time.Time{})
	require.Equal(t, at, s.host.confirmedAt.Load())
}

func TestTurnsBelongToTheirCustomer(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return streamed(id, 1, "said"), false })
	s := newSystem(t, x)
	s.keyed(customer("a"), customer("b"))
	turn := func(key, id, previous, input string) answer {
		return s.post("/turn/", input, ownheaders.ID, id, ownheaders.Program, "p", ownheaders.Previous, previous,
			ownheaders.Budget, "100", ownheaders.MaxTokens, "12", ownheaders.Key, key)
	}
	require.Equal(t, http.StatusOK, turn("a-key", "t1", "", "one ").status)
	require.Equal(t, http.StatusNotFound, turn("b-key", "t2", "t1", "two").status)
	require.Equal(t, http.StatusOK, turn("a-key", "t3", "t1", "three").status)
	seen := x.requests()
	require.Len(t, seen, 2)
	require.Equal(t, "one said\nthree", seen[1].Body)
}

func TestCustomersPriorityGoesFirst(t *testing.T) {
	x := &exchange{route: &routing.Route{Priority: 3}}
	require.Equal(t, 3, x.priority())
	x.customer = &routing.Customer{Priority: 1}
	require.Equal(t, 3, x.priority())
	x.customer.HasPriority = true
	require.Equal(t, 1, x.priority())
}

// limited has a quota of so many requests at once, and next to none later.
func limited(name string, burst float64) *routing.Customer {
	c := customer(name)
	c.Quota = routing.Quota{Rate: 0.001, Burst: burst}
	return c
}

func TestRequestsBeyondTheQuotaAreRefused(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.keyed(limited("a", 6), customer("b"))
	s.aged.Store(true)
	statuses := map[int]int{}
	for i := range 10 {
		got := s.post("/plain/", "", ownheaders.ID, strconv.Itoa(i), ownheaders.Key, "a-key")
		statuses[got.status]++
		if got.status == http.StatusTooManyRequests {
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.Equal(t, map[int]int{http.StatusOK: 6, http.StatusTooManyRequests: 4}, statuses)
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "of b", ownheaders.Key, "b-key").status, "others are not held back")
	require.Len(t, x.requests(), 7)
}

// With a member silent, its part of the quota is lost and no more.
func TestPartsOfTheOthersServeWhereAMemberIsSilent(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.keyed(limited("a", 6))
	s.aged.Store(true)
	s.members[1].silent.Store(true)
	served := 0
	for i := range 6 {
		if s.post("/plain/", "", ownheaders.ID, strconv.Itoa(i), ownheaders.Key, "a-key").status == http.StatusOK {
			served++
		}
	}
	require.Equal(t, 4, served)
}

func TestWithoutHistoryHostsAQuotaCannotBeTold(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.keyed(limited("a", 6), customer("b"))
	s.aged.Store(true)
	s.host.HistoryTimeout = historyPatience
	for _, m := range s.members {
		m.silent.Store(true)
	}
	require.Equal(t, http.StatusServiceUnavailable, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "2", ownheaders.Key, "b-key").status)
}

// History hosts that have just started do not know what they granted before: they begin
// without tokens.
func TestHistoryHostsBeginWithoutTokens(t *testing.T) {
	x := newTarget(t, "t1", answering)
	s := newSystem(t, x)
	s.keyed(limited("a", 6))
	require.Equal(t, http.StatusTooManyRequests, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	require.Empty(t, x.requests())
}
