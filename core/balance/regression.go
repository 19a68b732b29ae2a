package balance

// line is a running linear fit of y over x.
type line struct {
	n, x, y, xx, xy float64
}

const (
	// lineKept is what one observation leaves of those before: some thousand count,
	// the events of a hundred streams. With two hundred the fit followed a burst.
	lineKept = 0.999
	// lineLeast observations make a fit.
	lineLeast = 20
)

// observe takes one observation.
func (l *line) observe(x, y float64) {
	for _, v := range []*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy} {
		*v *= lineKept
	}
	l.n++
	l.x += x
	l.y += y
	l.xx += x * x
	l.xy += x * y
}

// fit returns y at 0 and what one unit of x adds. It needs some observations whose x
// differ by more than a variance of spread.
func (l *line) fit(spread float64) (at0, slope float64, ok bool) {
	if l.n < lineLeast {
		return 0, 0, false
	}
	mx, my := l.x/l.n, l.y/l.n
	variance := l.xx/l.n - mx*mx
	if variance < spread {
		return 0, 0, false
	}
	slope = (l.xy/l.n - mx*my) / variance
	return my - slope*mx, slope, true
}

// mean returns the mean of y, 0 without observations.
func (l *line) mean() float64 {
	if l.n == 0 {
		return 0
	}
	return l.y / l.n
}
