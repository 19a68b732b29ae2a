package history

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

func TestReplacementTimeoutOfSilentMember(t *testing.T) {
	m := placement.New(1)
	for _, x := range []placement.Member{
		{ID: "a1", DataCentre: "a"}, {ID: "a2", DataCentre: "a"}, {ID: "b1", DataCentre: "b"}, {ID: "c1", DataCentre: "c"},
	} {
		x.Host = x.ID
		m.Admit(x)
	}
	m.Assign()
	silent := func(ids ...string) map[string]bool {
		set := map[string]bool{}
		for _, id := range ids {
			set[id] = true
		}
		return set
	}
	require.Equal(t, replaceTimeout, replacementTimeout(m, "b1", silent("b1")), "no spare member")
	m.Admit(placement.Member{ID: "spare", Host: "spare", DataCentre: "c"})
	require.Equal(t, replaceTimeoutWithSpare, replacementTimeout(m, "b1", silent("b1")))
	require.Equal(t, replaceTimeoutWithSpare, replacementTimeout(m, "a1", silent("a1")), "one of two members in its data centre")
	require.Equal(t, replaceTimeout, replacementTimeout(m, "a1", silent("a1", "a2")), "its data centre is unreachable")
	require.Equal(t, replaceTimeout, replacementTimeout(m, "b1", silent("b1", "spare")), "the spare is silent too")
}
