package player

import "github.com/pistachioarch/pistachioarch/ctl/lineplot"

// Plot draws the worth by the time at which programs began, a line for each run, and
// saves it as PNG.
func Plot(results []*Result, file string) error {
	p := lineplot.Chart{XLabel: "programs begun at (s)", YLabel: "share in time, late ones half"}
	for _, r := range results {
		p.Title = r.Pattern
		line := lineplot.Line{Name: r.Policy}
		for i, w := range r.Windows {
			line.Points = append(line.Points, lineplot.Point{X: (beginOf(i) + beginOf(i+1)) / 2, Y: w.Worth()})
		}
		p.Lines = append(p.Lines, line)
	}
	return p.Save(file)
}

// beginOf is when a window begins, in seconds.
func beginOf(window int) float64 { return float64(window) * windowLength.Seconds() }
