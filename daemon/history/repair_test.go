package history

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

func TestPatienceWithASilentMember(t *testing.T) {
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
	require.Equal(t, replaceLate, patience(m, "b1", silent("b1")), "nobody is without slots")
	m.Admit(placement.Member{ID: "spare", Host: "spare", DataCentre: "c"})
	require.Equal(t, replaceSoon, patience(m, "b1", silent("b1")))
	require.Equal(t, replaceSoon, patience(m, "a1", silent("a1")), "one of two in its data centre")
	require.Equal(t, replaceLate, patience(m, "a1", silent("a1", "a2")), "its data centre is cut off")
	require.Equal(t, replaceLate, patience(m, "b1", silent("b1", "spare")), "the spare is silent itself")
}
