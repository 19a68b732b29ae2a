package history

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// A map that another writer has spoiled must not be used, and must be written again.
func TestSpoiledSlotMapIsRestored(t *testing.T) {
	for name, spec := range map[string]string{"empty": "{}", "no slots": `{"epoch":99,"faults":1,"members":{},"slots":[]}`, "a text": `"x"`} {
		t.Run(name, func(t *testing.T) {
			store := &mapStore{}
			c := newMember(t, store, "h", "127.0.0.1:1")
			before := c.server.Map()
			store.spec, store.revision = []byte(spec), 7
			c.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: MapName, Revision: 7, Spec: store.spec}}}})
			require.Equal(t, before, c.server.Map())
			c.reconcile(t.Context())
			restored, err := placement.Decode(store.spec)
			require.NoError(t, err)
			require.Equal(t, before.Members, restored.Members)
			require.Equal(t, uint64(8), store.revision)
		})
	}
}

// A host that starts while the map is spoiled must not use it.
func TestHostWithoutMapDoesNotTakeSpoiledOne(t *testing.T) {
	c := newMember(t, &mapStore{spec: []byte("{}"), revision: 3}, "h", "127.0.0.1:1")
	require.Nil(t, c.server.Map())
	c.reconcile(t.Context())
}

// One odd object must not keep the records beside it from being read.
func TestOddPlatformCopyIsLeftOut(t *testing.T) {
	w, err := json.Marshal(platformCopyObject{Epoch: 3})
	require.NoError(t, err)
	s := &fakeStore{items: map[string][]byte{"a": w, "odd": []byte(`{"write":7}`), "z": []byte("[")}}
	copies, err := listPlatformCopies(t.Context(), s, log.New(io.Discard))
	require.NoError(t, err)
	require.Len(t, copies, 1)
	require.Equal(t, "a", copies[0].name)
}
