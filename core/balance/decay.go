package balance

import (
	"math"
	"time"
)

// decay returns the fraction in (0, 1] that remains of a value after an age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// decayingMean is a mean whose observations lose half of their weight with each half-life.
type decayingMean struct {
	sum, weight float64
	at          time.Duration
}

// add adds an observation.
func (m *decayingMean) add(v float64, now, halfLife time.Duration) {
	remaining := decay(now-m.at, halfLife)
	m.sum, m.weight, m.at = m.sum*remaining+v, m.weight*remaining+1, max(m.at, now)
}

// mean returns the mean as of now, with prior weighed as a number of observations.
func (m *decayingMean) mean(now, halfLife time.Duration, prior, observations float64) float64 {
	remaining := decay(now-m.at, halfLife)
	return (m.sum*remaining + prior*observations) / (m.weight*remaining + observations)
}

// rate returns the number of observations per second.
func (m *decayingMean) rate(now, halfLife time.Duration) float64 {
	return m.weight * decay(now-m.at, halfLife) * math.Ln2 / halfLife.Seconds()
}
