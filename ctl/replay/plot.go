package replay

import (
	"image/color"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the distribution of program latency under each policy, with the
// wasted cache in the legend, and saves it as PNG.
func Plot(results []*Result, file string) error {
	p := plot.New()
	p.X.Label.Text = "program latency (s)"
	p.Y.Label.Text = "share of programs"
	p.Legend.Top = false
	p.BackgroundColor = color.White
	for i, r := range results {
		p.Title.Text = r.Trace
		points := make(plotter.XYs, len(r.latencies))
		for j, d := range r.latencies {
			points[j] = plotter.XY{X: d.Seconds(), Y: float64(j+1) / float64(len(r.latencies))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return failure.Wrap(err, failure.Internal, "plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(legend(r), line)
	}
	return failure.Wrap(p.Save(plotWidth, plotHeight, file), failure.Usage, "plot")
}

func legend(r *Result) string {
	return r.Policy + ", wasted " + strconv.FormatInt(r.WastedCacheTokens/1000, 10) + "k tokens"
}
