package entry

import (
	"maps"
	"slices"

	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// EvacuationView applies the evacuations of data centres from the platform to a Host: targets
// there get no new requests, while those in progress complete. It implements objects.Listener.
type EvacuationView struct {
	host        *Host
	dataCentres map[string]bool
}

// NewEvacuationView returns a listener for evacuations. The name of each object is a data
// centre.
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

// Lost implements objects.Listener. The last known evacuations stay in force, so that no
// request goes to an evacuated data centre during an outage of the platform.
func (v *EvacuationView) Lost(error) {}

// apply passes the evacuated data centres to the registry.
func (v *EvacuationView) apply() {
	h := v.host
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registry.SetEvacuated(v.dataCentres, h.now())
	h.Log.Info("evacuated data centres", "data_centres", slices.Sorted(maps.Keys(v.dataCentres)))
}
