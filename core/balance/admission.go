package balance

// Admission bounds the requests that a host holds at once, so that a burst ends in
// refusals that say so and not in a process that is killed for its memory.
type Admission struct {
	limit, active int
}

const (
	// requestBytes is what one request may hold on average: buffers of two
	// connections, a prompt of some 10 KB twice, stacks of four goroutines.
	requestBytes = 96 << 10
	// memoryForRequests is the part of the memory limit that requests may fill.
	memoryForRequests = 0.4
	// requestDescriptors is what one request needs: the caller's connection, and one
	// to a target, twice while one is being replaced.
	requestDescriptors = 3
	// leastRequests is always allowed.
	leastRequests = 16
)

// NewAdmission returns the bounds that follow from a host's limits; a limit of 0
// does not bind.
func NewAdmission(memoryBytes int64, descriptors int) *Admission {
	limit := 1 << 30
	if memoryBytes > 0 {
		limit = min(limit, int(memoryForRequests*float64(memoryBytes)/requestBytes))
	}
	if descriptors > 0 {
		limit = min(limit, descriptors/requestDescriptors)
	}
	return &Admission{limit: max(leastRequests, limit)}
}

// Enter admits a request, or reports that there are too many.
func (a *Admission) Enter() bool {
	if a.active >= a.limit {
		return false
	}
	a.active++
	return true
}

// Leave ends an admitted request.
func (a *Admission) Leave() { a.active-- }

// Active is the number of requests held.
func (a *Admission) Active() int { return a.active }

// Limit is the most requests held at once.
func (a *Admission) Limit() int { return a.limit }
