package balance

import (
	"math"
	"time"
)

// recent is a mean whose observations lose half of their weight with each half-life.
type recent struct {
	sum, weight float64
	at          time.Duration
}

func (m *recent) fade(now, halfLife time.Duration) {
	if now > m.at {
		kept := math.Exp2(-float64(now-m.at) / float64(halfLife))
		m.sum, m.weight, m.at = m.sum*kept, m.weight*kept, now
	}
}

// add takes an observation.
func (m *recent) add(v float64, now, halfLife time.Duration) {
	m.fade(now, halfLife)
	m.sum += v
	m.weight++
}

// by is the mean by now, where prior counts as so many observations.
func (m *recent) by(now, halfLife time.Duration, prior, observations float64) float64 {
	kept := 1.0
	if now > m.at {
		kept = math.Exp2(-float64(now-m.at) / float64(halfLife))
	}
	return (m.sum*kept + prior*observations) / (m.weight*kept + observations)
}

// rate is the observations a second.
func (m *recent) rate(now, halfLife time.Duration) float64 {
	kept := 1.0
	if now > m.at {
		kept = math.Exp2(-float64(now-m.at) / float64(halfLife))
	}
	return m.weight * kept * math.Ln2 / halfLife.Seconds()
}
