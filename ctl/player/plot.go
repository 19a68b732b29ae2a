package player

import "github.com/pistachioarch/pistachioarch/ctl/lineplot"

// Plot draws the score by the start time of programs, a line for each run, and saves it as a
// PNG file.
func Plot(results []*Result, file string) error {
	p := lineplot.Chart{XLabel: "start of programs (s)", YLabel: "share in time, late programs count half"}
	for _, r := range results {
		p.Title = r.Pattern
		line := lineplot.Line{Name: r.Policy}
		for i, window := range r.Windows {
			line.Points = append(line.Points, lineplot.Point{X: (windowStart(i) + windowStart(i+1)) / 2, Y: window.Score()})
		}
		p.Lines = append(p.Lines, line)
	}
	return p.Save(file)
}

// windowStart is the start of a window, in seconds.
func windowStart(window int) float64 { return float64(window) * windowLength.Seconds() }
