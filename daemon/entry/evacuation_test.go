package entry

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// evacuationSnapshot returns the platform's list of evacuations with these data centres.
func evacuationSnapshot(dataCentres ...string) objects.Snapshot {
	s := objects.Snapshot{}
	for _, name := range dataCentres {
		s.Items = append(s.Items, objects.Object{Name: name})
	}
	return s
}

func TestEvacuationStaysInForceWhenPlatformIsLost(t *testing.T) {
	a, b := newFakeTarget(t, "t1", answerOK), newFakeTarget(t, "t2", answerOK)
	s := newSystem(t, a, b)
	s.host.registry.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", Address: b.listener.Addr().String(), DataCentre: "dc2", Capacity: 4})
	view := NewEvacuationView(s.host)
	view.Replaced(evacuationSnapshot("dc1"))
	view.Lost(failure.New(failure.PlatformUnavailable, "platform down"))
	view.Changed(objects.Changes{})
	for i := range 6 {
		require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, strconv.Itoa(i)).status)
	}
	require.Empty(t, a.requests())
	view.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: "dc1"}, Removed: true}}})
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "after-evacuation").status)
	require.Len(t, a.requests(), 1)
}

// A request that no target may serve is refused at once, as not run.
func TestRequestsAreRefusedAtOnceWhenAllDataCentresAreEvacuated(t *testing.T) {
	a := newFakeTarget(t, "t1", answerOK)
	s := newSystem(t, a)
	view := NewEvacuationView(s.host)
	view.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: "dc1"}}}})
	require.Equal(t, http.StatusServiceUnavailable, s.post("/once/", "", ownheaders.ID, "1").status)
	require.Empty(t, a.requests())
}
