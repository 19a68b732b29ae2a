package balance

import (
	"math"
	"time"
)

// fading is the part that is left after an age of what halves with each half-life.
func fading(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// recent is a mean whose observations lose half of their weight with each half-life.
type recent struct {
	sum, weight float64
	at          time.Duration
}

// add takes an observation.
func (m *recent) add(v float64, now, halfLife time.Duration) {
	left := fading(now-m.at, halfLife)
	m.sum, m.weight, m.at = m.sum*left+v, m.weight*left+1, max(m.at, now)
}

// by is the mean by now, where prior counts as so many observations.
func (m *recent) by(now, halfLife time.Duration, prior, observations float64) float64 {
	left := fading(now-m.at, halfLife)
	return (m.sum*left + prior*observations) / (m.weight*left + observations)
}

// rate is the observations a second.
func (m *recent) rate(now, halfLife time.Duration) float64 {
	return m.weight * fading(now-m.at, halfLife) * math.Ln2 / halfLife.Seconds()
}
