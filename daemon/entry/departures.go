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

// departure is what a host knows of a target that the platform no longer lists, or at whose address another
// target is listed.
type departure struct {
	at      time.Time
	address string
	// draining reports that the target had announced that it leaves.
	draining bool
	// replaced reports that another process serves under its ID or at its address.
	replaced bool
	// servedOn reports that the target accepted connections long enough after it was gone from the list.
	servedOn bool
}

// departures holds the incarnations of targets that are gone, for departureMemory. The zero value is ready
// to use.
type departures struct {
	mu    sync.Mutex
	known map[targetStart]departure
}

// add records that an incarnation is gone. What was recorded of it before holds on.
func (d *departures) add(t targetStart, now departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = map[targetStart]departure{}
	}
	for old, x := range d.known {
		if time.Since(x.at) > departureMemory {
			delete(d.known, old)
		}
	}
	before := d.known[t]
	now.at, now.draining, now.replaced, now.servedOn = time.Now(), now.draining || before.draining, now.replaced || before.replaced, before.servedOn
	d.known[t] = now
}

// replaceAt records that another process serves at an address. The incarnations that left the list within a time
// before, and so cannot have served on for that time, have ended.
func (d *departures) replaceAt(address string, within time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t, x := range d.known {
		if x.address == address && time.Since(x.at) < within {
			x.replaced = true
			d.known[t] = x
		}
	}
}

// setServedOn records that an incarnation that is gone from the list has served on.
func (d *departures) setServedOn(t targetStart) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x, known := d.known[t]; known {
		x.servedOn = true
		d.known[t] = x
	}
}

// find returns what is known of an incarnation that is gone; false if it is not known to be gone.
func (d *departures) find(t targetStart) (departure, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x, gone := d.known[t]
	return x, gone
}

// has reports whether an incarnation is known to be gone.
func (d *departures) has(t targetStart) bool {
	_, gone := d.find(t)
	return gone
}
