package quorum

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// What another writer puts beside the slot map, or in its place, must not be used as the map.
func TestOddObjectsAreNotTakenForTheSlotMap(t *testing.T) {
	sound, err := json.Marshal(newMap(3))
	require.NoError(t, err)
	for name, o := range map[string]objects.Object{
		"another name":      {Name: "other", Spec: sound},
		"empty":             {Name: placement.ObjectName, Spec: []byte("{}")},
		"slots are missing": {Name: placement.ObjectName, Spec: []byte(`{"epoch":99,"faults":1}`)},
		"no JSON":           {Name: placement.ObjectName, Spec: []byte("[")},
		"no spec":           {Name: placement.ObjectName},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(nil, "dc", log.New(io.Discard), nil)
			c.Replaced(objects.Snapshot{Items: []objects.Object{o}})
			require.False(t, c.Ready())
			c.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: placement.ObjectName, Spec: sound}}, {Object: o}}})
			require.True(t, c.Ready())
			require.Len(t, c.currentMap().Members, 3)
		})
	}
}
