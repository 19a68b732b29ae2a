package balance

import (
	"maps"
	"time"
)

// SetEvacuated names the data centres whose targets get no new requests, in place of those named
// before. Targets of a data centre that is not named any more serve again at once; as they
// may have started anew unseen, they are taken to be cold.
func (r *Registry) SetEvacuated(dataCentres map[string]bool, now time.Duration) {
	r.evacuated = maps.Clone(dataCentres)
	clear(r.homeOf)
	for _, t := range r.targets {
		back := t.evacuated && !r.evacuated[t.DataCentre]
		t.evacuated = r.evacuated[t.DataCentre]
		if back {
			t.cold.until = now + t.service.coldStart.Window
		}
	}
}
