package entry

import (
	"sync"
	"time"
)

// departureMemory is how long a host knows of a target that it is gone. A caller has given up a request
// that ran there by then.
const departureMemory = time.Minute

// targetStart identifies an incarnation of a target.
type targetStart struct {
	id          string
	startedAtMs int64
}

// departures holds the incarnations of targets that the platform no longer lists, for departureMemory.
// The zero value is ready to use.
type departures struct {
	mu sync.Mutex
	at map[targetStart]time.Time
}

// add records that an incarnation is gone.
func (d *departures) add(id string, startedAtMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == nil {
		d.at = map[targetStart]time.Time{}
	}
	for t, at := range d.at {
		if time.Since(at) > departureMemory {
			delete(d.at, t)
		}
	}
	d.at[targetStart{id, startedAtMs}] = time.Now()
}

// contains reports whether an incarnation is known to be gone.
func (d *departures) contains(id string, startedAtMs int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, gone := d.at[targetStart{id, startedAtMs}]
	return gone
}
