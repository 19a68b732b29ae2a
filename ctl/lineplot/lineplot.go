// Package lineplot draws line charts and saves them as PNG files.
package lineplot

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Size of a chart: half a page.
const (
	width  = 18 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Point is one point of a line, in the units stated in the axis labels.
type Point struct{ X, Y float64 }

// Line is one line of a chart, with its name in the legend.
type Line struct {
	Name   string
	Points []Point
}

// Chart is a line chart. All Y values are fractions between 0 and 1.
type Chart struct {
	Title, XLabel, YLabel string
	Lines                 []Line
}

// Save draws the chart and writes it to a PNG file. The error is a Failure of kind Usage if the
// file cannot be written.
func (c Chart) Save(file string) error {
	out := plot.New()
	out.Title.Text, out.X.Label.Text, out.Y.Label.Text = c.Title, c.XLabel, c.YLabel
	out.Y.Min, out.Y.Max = 0, 1
	out.BackgroundColor = color.White
	for i, l := range c.Lines {
		points := make(plotter.XYs, len(l.Points))
		for j, x := range l.Points {
			points[j] = plotter.XY(x)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return failure.Wrap(err, failure.Internal, "plot")
		}
		line.Color = plotutil.Color(i)
		out.Add(line)
		out.Legend.Add(l.Name, line)
	}
	return failure.Wrap(out.Save(width, height, file), failure.Usage, "plot")
}
