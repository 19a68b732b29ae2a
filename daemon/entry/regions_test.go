package entry

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// newRegionalSystem returns a system with one target in each of the regions north and south.
// The host is in north.
func newRegionalSystem(t *testing.T, answer answerFunc) (s *testSystem, north, south *fakeTarget) {
	north, south = newFakeTarget(t, "north", answer), newFakeTarget(t, "south", answer)
	s = newSystem(t, north)
	s.host.Regions = map[string]string{"dc1": "north", "dc2": "south", "0": "north", "1": "north", "2": "south"}
	s.host.registry.SetTarget(balance.TargetInfo{ID: "south", Service: "s", Address: south.listener.Addr().String(), DataCentre: "dc2", Capacity: 4})
	return s, north, south
}

// restrictRoute sets a newer configuration in which a route is restricted to regions.
func (s *testSystem) restrictRoute(prefix string, regions routing.Regions) {
	old := s.host.table.Load()
	var routes []*routing.Route
	for _, r := range old.Routes() {
		restricted := *r
		if r.Prefix == prefix {
			restricted.Regions = regions
		}
		routes = append(routes, &restricted)
	}
	s.host.SetTable(routing.NewTable(old.Version+1, old.Limits, old.Services(), routes).RequireKeys(old.Customers()))
	s.host.confirmConfig(time.Now())
}

func TestRestrictedRequestsAreServedOnlyInTheirRegions(t *testing.T) {
	s, north, south := newRegionalSystem(t, answerOK)
	a := customer("a")
	a.Regions = routing.NewRegions("north")
	s.requireKeys(a, customer("b"))
	for name, c := range map[string]struct {
		regions routing.Regions
		key     string
		by      *fakeTarget
	}{
		"route":                  {routing.NewRegions("south"), "b-key", south},
		"route, near":            {routing.NewRegions("north"), "b-key", north},
		"customer":               {routing.NewRegions(), "a-key", north},
		"both":                   {routing.NewRegions("south", "north"), "a-key", north},
		"both, no common region": {routing.NewRegions("south"), "a-key", nil},
		"unknown region":         {routing.NewRegions("west"), "b-key", nil},
	} {
		t.Run(name, func(t *testing.T) {
			s.restrictRoute("/once/", c.regions)
			seen := map[*fakeTarget]int{north: len(north.requests()), south: len(south.requests())}
			for i := range 6 {
				got := s.post("/once/", "", ownheaders.ID, name+strconv.Itoa(i), ownheaders.Key, c.key)
				if c.by == nil {
					require.Equal(t, http.StatusServiceUnavailable, got.status, "refused at once, as not run")
					continue
				}
				require.Equal(t, http.StatusOK, got.status)
				seen[c.by]++
			}
			require.Len(t, north.requests(), seen[north])
			require.Len(t, south.requests(), seen[south])
		})
	}
}

// The load of a service counts only in the regions that a request may use: if the service is
// full there, the request is refused, however much capacity other regions have.
func TestAdmissionCountsLoadOnlyInAllowedRegions(t *testing.T) {
	s, north, south := newRegionalSystem(t, answerOK)
	s.restrictRoute("/quick/", routing.NewRegions("north"))
	x, _ := s.host.registry.Target("north")
	for range 6 {
		x.RecordSend(nil, s.host.now())
	}
	got := s.post("/quick/", "", ownheaders.ID, "1", ownheaders.Program, "p", ownheaders.MaxTokens, "3", ownheaders.Prompt, "100")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Empty(t, north.requests())
	require.Empty(t, south.requests())
}

// countRequestsContaining counts the requests to a history host that contain text.
func (m *member) countRequestsContaining(text string) *atomic.Int64 {
	n := &atomic.Int64{}
	m.setHandler(func(req *historypb.Request, answer func(*historypb.Reply)) {
		if encoded, err := proto.Marshal(req); err != nil || bytes.Contains(encoded, []byte(text)) {
			n.Add(1)
		}
		m.server.Handle(req, answer)
	})
	return n
}

// startRegionalHistory replaces the history hosts by two in north and three in south.
func (s *testSystem) startRegionalHistory() (north, south []*member) {
	s.members = nil
	s.history = quorum.New(&net.Dialer{}, "dc1", discardLog(), nil)
	s.history.SetTimeouts(memberTimeout)
	s.host.History = s.history
	s.startHistoryInRegions("north", "north", "south", "south", "south")
	return s.members[:2], s.members[2:]
}

func TestTurnsOfRestrictedRouteAreStoredInItsRegion(t *testing.T) {
	s, _, engine := newRegionalSystem(t, func(n int, _ received, id string) (string, bool) {
		return okStream(id, 0, "answer"+strconv.Itoa(n)), false
	})
	north, south := s.startRegionalHistory()
	s.restrictRoute("/turn/", routing.NewRegions("south"))
	var outside, inside []*atomic.Int64
	for _, m := range north {
		outside = append(outside, m.countRequestsContaining("secret"))
	}
	for _, m := range south {
		inside = append(inside, m.countRequestsContaining("secret"))
	}
	for i := range 6 {
		previous := ""
		if i > 0 {
			previous = "t" + strconv.Itoa(i-1)
		}
		require.Equal(t, http.StatusOK, s.postTurn("/turn/", "t"+strconv.Itoa(i), previous, "secret"+strconv.Itoa(i)).status)
	}
	require.Equal(t, "secret0answer0\nsecret1answer1\nsecret2answer2\nsecret3answer3\nsecret4answer4\nsecret5", engine.requests()[5].Body)
	writes := int64(0)
	for _, n := range inside {
		writes += n.Load()
	}
	require.GreaterOrEqual(t, writes, int64(12), "each turn is stored on two disks")
	for _, n := range outside {
		require.Zero(t, n.Load())
	}
	s.host.background.Wait()
	program, err := s.history.Read(t.Context(), "p", "")
	require.NoError(t, err)
	require.EqualValues(t, 18, program.Usage.TokensExcluding(""), "the budget is shared by all routes of the program")
}

func TestTurnsWithoutStorageRegionAreRefusedAtOnce(t *testing.T) {
	s, north, south := newRegionalSystem(t, answerOK)
	s.startRegionalHistory()
	s.restrictRoute("/turn/", routing.NewRegions("west"))
	require.Equal(t, http.StatusServiceUnavailable, s.postTurn("/turn/", "t", "", "secret").status)
	require.Empty(t, north.requests())
	require.Empty(t, south.requests())
}

// When a route is moved to another region, turns stored before must still be found.
func TestTurnsStoredBeforeRouteWasRestrictedAreFound(t *testing.T) {
	s, north, _ := newRegionalSystem(t, func(_ int, _ received, id string) (string, bool) { return okStream(id, 0, "a"), false })
	s.startRegionalHistory()
	require.Equal(t, http.StatusOK, s.postTurn("/turn/", "t0", "", "first").status)
	s.restrictRoute("/turn/", routing.NewRegions("north"))
	require.Equal(t, http.StatusOK, s.postTurn("/turn/", "t1", "t0", "second").status)
	requests := north.requests()
	require.Equal(t, "firsta\nsecond", requests[len(requests)-1].Body)
	require.Equal(t, http.StatusNotFound, s.postTurn("/turn/", "t2", "never", "third").status)
}
