package entry

import "sync"

// maxServedRequests is the number of requests that a host remembers as served.
const maxServedRequests = 1024

// servedRequests remembers the fingerprints of the latest requests outside of programs that targets
// answered. Such requests of several callers may be the same, so that one that is served often is also
// often at work where a target crashes. The zero value is ready to use.
type servedRequests struct {
	mu    sync.Mutex
	known map[string]bool
	// order holds the known fingerprints, and next is the index of the oldest once it is full.
	order []string
	next  int
}

// add remembers a request and forgets the one that was added first if there are too many.
func (s *servedRequests) add(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[string]bool{}
	}
	if s.known[fingerprint] {
		return
	}
	s.known[fingerprint] = true
	if len(s.order) < maxServedRequests {
		s.order = append(s.order, fingerprint)
		return
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = fingerprint
	s.next = (s.next + 1) % maxServedRequests
}

// contains reports whether the request was served.
func (s *servedRequests) contains(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[fingerprint]
}
