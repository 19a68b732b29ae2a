package balance

// slowdown is a running linear fit of how long an engine takes for one event of a
// stream, by its load: some engines hardly slow down until they are full, others take
// four times as long. It makes the cost of load comparable with that of waiting and
// reading. It must follow what is seen: with a cost of 0.1 for all engines, a deployment
// with engines of the second kind fell from 0.86 to 0.73 of its worth on a high day.
type slowdown struct {
	n, x, y, xx, xy float64
}

const (
	// slowdownKept is what one observation leaves of those before: some two hundred
	// count.
	slowdownKept = 0.995
	// slowdownLeast observations, and slowdownSpread of their loads (variance), make a
	// fit; a host that has seen less assumes slowdownAssumed.
	slowdownLeast   = 20
	slowdownSpread  = 0.005
	slowdownAssumed = 0.5
	// Bounds of what a fit may say.
	slowdownFrom, slowdownTo = 0.1, 1
)

// observe takes the time of one event, in nanoseconds, at a load, in places.
func (s *slowdown) observe(load, y float64) {
	x := min(load, 1)
	for _, v := range []*float64{&s.n, &s.x, &s.y, &s.xx, &s.xy} {
		*v *= slowdownKept
	}
	s.n++
	s.x += x
	s.y += y
	s.xx += x * x
	s.xy += x * y
}

// fit returns the time at no load and what a full load adds.
func (s *slowdown) fit() (idle, added float64, ok bool) {
	if s.n < slowdownLeast {
		return 0, 0, false
	}
	mx, my := s.x/s.n, s.y/s.n
	spread := s.xx/s.n - mx*mx
	if spread < slowdownSpread {
		return 0, 0, false
	}
	added = (s.xy/s.n - mx*my) / spread
	return my - added*mx, added, true
}

// busy is the part of the time at full load that the load makes up.
func (s *slowdown) busy() float64 {
	idle, added, ok := s.fit()
	if !ok || idle+added <= 0 {
		return slowdownAssumed
	}
	return min(slowdownTo, max(slowdownFrom, added/(idle+added)))
}

// usual is the time to expect at a load, 0 if it is not known.
func (s *slowdown) usual(load float64) float64 {
	idle, added, ok := s.fit()
	if !ok {
		return 0
	}
	return max(0, idle+added*min(load, 1))
}
