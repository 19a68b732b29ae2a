package quorum

import (
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// The board is the first member by ID of the own data centre that answers, never one of another.
func TestBoardIsFirstAnsweringMemberOfOwnDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(hangingDialer{}, "a", log.New(io.Discard), nil)
		_, ok := c.Board()
		require.False(t, ok, "no slot map is known")
		m := placement.New(1)
		for id, dataCentre := range map[string]string{"m0": "b", "m1": "a", "m2": "a"} {
			m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: dataCentre})
		}
		m.Assign()
		encoded, err := json.Marshal(m)
		require.NoError(t, err)
		c.adopt(encoded, "test")
		errNoAnswer := failure.New(failure.PeerUnavailable, "silent")
		for _, want := range []string{"m1", "m2"} {
			board, ok := c.Board()
			require.True(t, ok)
			require.Equal(t, want, board.ID)
			c.recordOutcome(want, errNoAnswer)
			time.Sleep(time.Millisecond)
		}
		_, ok = c.Board()
		require.False(t, ok)
		_, err = c.ExchangeLoads(t.Context(), loads.HostReport{})
		require.True(t, failure.Is(err, failure.PeerUnavailable))
		c.recordOutcome("m1", nil)
		board, _ := c.Board()
		require.Equal(t, "m1", board.ID, "the member answers again")
		awaitProbes()
	})
}
