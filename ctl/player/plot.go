package player

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the worth by the time at which programs began, a line for each run, and
// saves it as PNG.
func Plot(results []*Result, file string) error {
	p := plot.New()
	p.X.Label.Text = "programs begun at (s)"
	p.Y.Label.Text = "share in time, late ones half"
	p.Y.Min, p.Y.Max = 0, 1
	p.BackgroundColor = color.White
	for i, r := range results {
		p.Title.Text = r.Pattern
		points := make(plotter.XYs, len(r.Windows))
		for j, x := range r.Windows {
			points[j] = plotter.XY{X: (beginOf(j) + beginOf(j+1)) / 2, Y: x.Worth()}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return failure.Wrap(err, failure.Internal, "plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return failure.Wrap(p.Save(plotWidth, plotHeight, file), failure.Usage, "plot")
}

// beginOf is when a window begins, in seconds.
func beginOf(window int) float64 { return float64(window) * windowLength.Seconds() }
