package balance

import (
	"maps"
	"time"
)

// SetEvacuated replaces the set of data centres whose targets get no new requests. Targets of a
// data centre that leaves the set are usable immediately; they are treated as cold, since they
// may have restarted unnoticed.
func (r *Registry) SetEvacuated(dataCentres map[string]bool, now time.Duration) {
	r.evacuated = maps.Clone(dataCentres)
	clear(r.affinityByPart)
	for _, t := range r.targets {
		returned := t.evacuated && !r.evacuated[t.DataCentre]
		t.evacuated = r.evacuated[t.DataCentre]
		if returned {
			t.cold.until = now + t.service.coldStart.Window
		}
	}
}
