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

// requireKeys applies a newer configuration version with customers and the public route /open/.
func (s *testSystem) requireKeys(customers ...*routing.Customer) {
	s.t.Helper()
	byKey, err := routing.NewCustomers(customers)
	require.NoError(s.t, err)
	current := s.host.table.Load()
	public := &routing.Route{Host: "example", Prefix: "/open/", Services: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2, Public: true}
	service, _ := current.Service("s")
	routes := append(current.Routes(), public)
	s.host.SetTable(routing.NewTable(current.Version+1, current.Limits, []*routing.Service{service}, routes).RequireKeys(byKey))
	s.host.confirmConfig(time.Now())
}

// customer returns a customer with one key, its name followed by "-key".
func customer(name string) *routing.Customer {
	return &routing.Customer{Name: name, Keys: []routing.KeyDigest{routing.DigestKey(name + "-key")}}
}

// answerOK is an answerFunc that answers each request with status 200.
func answerOK(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false }

func TestKeyIdentifiesCustomer(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.requireKeys(customer("a"), customer("b"))
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

func TestNoKeyRequiredWithoutCustomers(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "of another system").status)
	require.Equal(t, "of another system", x.requests()[0].Key)
}

func TestRemovedKeyIsRejectedImmediately(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.requireKeys(customer("a"), customer("b"))
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	s.requireKeys(customer("b"))
	require.Equal(t, http.StatusUnauthorized, s.post("/plain/", "", ownheaders.ID, "2", ownheaders.Key, "a-key").status)
	require.Len(t, x.requests(), 1)
}

// A key is removed between two attempts of a request: the second one must not be sent.
func TestRetryIsRejectedAfterKeyRemoval(t *testing.T) {
	var s *testSystem
	refusing := func(n int, _ received, id string) (string, bool) {
		s.requireKeys(customer("b"))
		return refusedAnswer(id), false
	}
	first, second := newFakeTarget(t, "t1", refusing), newFakeTarget(t, "t2", refusing)
	s = newSystem(t, first, second)
	s.requireKeys(customer("a"), customer("b"))
	require.Equal(t, http.StatusUnauthorized, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	require.Equal(t, 1, len(first.requests())+len(second.requests()))
}

// A host whose configuration was not confirmed for longer than KeyRules.MaxAge is not ready and
// refuses requests with a key, but serves public routes. The next confirmation ends that.
func TestRequestsWithKeysAreRefusedWithStaleConfiguration(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.host.KeyRules = KeyRules{MaxAge: time.Hour, UnknownMaxAge: time.Minute}
	s.requireKeys(customer("a"))
	s.host.configConfirmed.at.Store(int64(s.host.now() - 2*time.Hour))
	require.False(t, s.host.Ready())
	got := s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, x.requests())
	require.Equal(t, http.StatusOK, s.post("/open/", "", ownheaders.ID, "2").status)
	s.host.confirmConfig(time.Now())
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "3", ownheaders.Key, "a-key").status)
}

// A host with an old configuration cannot tell that a key is unknown: the key may have been added
// since.
func TestUnknownKeyIsUnauthorizedOnlyWithRecentConfiguration(t *testing.T) {
	s := newSystem(t, newFakeTarget(t, "t1", answerOK))
	s.host.KeyRules = KeyRules{MaxAge: time.Hour, UnknownMaxAge: time.Minute}
	s.requireKeys(customer("a"))
	s.host.configConfirmed.at.Store(int64(s.host.now() - 2*time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "b-key").status)
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "2", ownheaders.Key, "a-key").status)
}

// A host that stood still, or that has not noticed that it hears nothing of the platform, cannot tell that there is no
// such route.
func TestUnknownRouteIsNotFoundOnlyWithRecentConfiguration(t *testing.T) {
	s := newSystem(t)
	s.host.KeyRules = KeyRules{UnknownMaxAge: time.Minute}
	s.host.configConfirmed.at.Store(int64(s.host.now() - 2*time.Minute))
	got := s.post("/new/", "", ownheaders.ID, "1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	s.host.confirmConfig(time.Now())
	require.Equal(t, http.StatusNotFound, s.post("/new/", "", ownheaders.ID, "2").status)
}

// During an outage of the platform for all hosts, a request waits for a confirmation and is served
// once it arrives.
func TestRequestWaitsForConfirmedConfiguration(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.host.KeyRules = KeyRules{MaxAge: time.Hour, UnknownMaxAge: time.Minute}
	s.requireKeys(customer("a"))
	s.host.configConfirmed.at.Store(int64(s.host.now() - 2*time.Hour))
	answers := make(chan answer)
	go func() { answers <- s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key") }()
	require.Eventually(t, func() bool { return s.host.activeRequests() == 1 }, time.Second, time.Millisecond)
	s.host.confirmConfig(time.Now())
	require.Equal(t, http.StatusOK, (<-answers).status)
}

func TestConfirmationTimeIsMonotonic(t *testing.T) {
	s := newSystem(t)
	now := time.Now()
	s.host.confirmConfig(now)
	at := s.host.configConfirmed.at.Load()
	s.host.confirmConfig(now.Add(-time.Second))
	s.host.confirmConfig(time.Time{})
	require.Equal(t, at, s.host.configConfirmed.at.Load())
}

func TestTurnsAreScopedToCustomer(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okStream(id, 1, "said"), false })
	s := newSystem(t, x)
	s.requireKeys(customer("a"), customer("b"))
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

func TestCustomerPriorityOverridesRoute(t *testing.T) {
	x := &exchange{route: &routing.Route{Priority: 3}}
	require.Equal(t, 3, x.priority())
	x.customer = &routing.Customer{Priority: 1}
	require.Equal(t, 3, x.priority())
	x.customer.HasPriority = true
	require.Equal(t, 1, x.priority())
}

// limitedCustomer returns a customer with a quota of burst requests at once and almost none later.
func limitedCustomer(name string, burst float64) *routing.Customer {
	c := customer(name)
	c.Quota = routing.Quota{Rate: 0.001, Burst: burst}
	return c
}

func TestRequestsOverQuotaAreRefused(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.requireKeys(limitedCustomer("a", 6), customer("b"))
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
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "of b", ownheaders.Key, "b-key").status, "other customers are not limited")
	require.Len(t, x.requests(), 7)
}

// If a member does not answer, only its part of the quota is lost.
func TestSilentMemberCostsOnlyItsQuotaPart(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.requireKeys(limitedCustomer("a", 6))
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

func TestQuotaRequestFailsWithoutHistoryHosts(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.requireKeys(limitedCustomer("a", 6), customer("b"))
	s.aged.Store(true)
	s.host.HistoryTimeout = historyTimeout
	for _, m := range s.members {
		m.silent.Store(true)
	}
	require.Equal(t, http.StatusServiceUnavailable, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "2", ownheaders.Key, "b-key").status)
}

// History hosts that have just started do not know which tokens they granted before, so they start
// without any.
func TestHistoryHostsStartWithoutTokens(t *testing.T) {
	x := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, x)
	s.requireKeys(limitedCustomer("a", 6))
	require.Equal(t, http.StatusTooManyRequests, s.post("/plain/", "", ownheaders.ID, "1", ownheaders.Key, "a-key").status)
	require.Empty(t, x.requests())
}
