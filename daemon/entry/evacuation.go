package entry

import (
	"maps"
	"slices"

	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// EvacuationView takes from the platform which data centres are to be evacuated: their
// targets get no new requests, while what runs there ends; an objects.Listener.
type EvacuationView struct {
	host        *Host
	dataCentres map[string]bool
}

// NewEvacuationView returns the listener for evacuations; an object's name is a data centre.
func NewEvacuationView(h *Host) *EvacuationView {
	return &EvacuationView{host: h, dataCentres: map[string]bool{}}
}

// Replaced implements objects.Listener.
func (v *EvacuationView) Replaced(s objects.Snapshot) {
	clear(v.dataCentres)
	for _, o := range s.Items {
		v.dataCentres[o.Name] = true
	}
	v.apply()
}

// Changed implements objects.Listener.
func (v *EvacuationView) Changed(changes objects.Changes) {
	if len(changes.Events) == 0 {
		return
	}
	for _, e := range changes.Events {
		if e.Removed {
			delete(v.dataCentres, e.Object.Name)
			continue
		}
		v.dataCentres[e.Object.Name] = true
	}
	v.apply()
}

// Lost implements objects.Listener: the last known evacuations stay in force, so that an
// outage of the platform sends nothing where nothing must go.
func (v *EvacuationView) Lost(error) {}

func (v *EvacuationView) apply() {
	h := v.host
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registry.SetEvacuated(v.dataCentres, h.now())
	h.Log.Info("evacuated data centres", "data_centres", slices.Sorted(maps.Keys(v.dataCentres)))
}
