package balance

// regression is a linear least-squares fit of y over x with exponential forgetting.
type regression struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

const (
	// regressionRetention is the weight that earlier observations keep at each observation.
	// About a thousand observations count, the events of a hundred streams; with two hundred the
	// fit followed a burst.
	regressionRetention = 0.999
	// minRegressionWeight is the weight of observations that a fit needs.
	minRegressionWeight = 20
)

// observe adds an observation.
func (l *regression) observe(x, y float64) {
	for _, v := range []*float64{&l.weight, &l.sumX, &l.sumY, &l.sumXX, &l.sumXY} {
		*v *= regressionRetention
	}
	l.weight++
	l.sumX += x
	l.sumY += y
	l.sumXX += x * x
	l.sumXY += x * y
}

// fit returns y at 0 and the increase of y per unit of x. It needs enough observations whose x
// have at least a variance of minVariance.
func (l *regression) fit(minVariance float64) (at0, slope float64, ok bool) {
	if l.weight < minRegressionWeight {
		return 0, 0, false
	}
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	variance := l.sumXX/l.weight - meanX*meanX
	if variance < minVariance {
		return 0, 0, false
	}
	slope = (l.sumXY/l.weight - meanX*meanY) / variance
	return meanY - slope*meanX, slope, true
}

// mean returns the mean of y, or 0 without observations.
func (l *regression) mean() float64 {
	if l.weight == 0 {
		return 0
	}
	return l.sumY / l.weight
}
