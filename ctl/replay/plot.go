package replay

import (
	"strconv"

	"github.com/pistachioarch/pistachioarch/ctl/lineplot"
)

// Plot draws the cumulative distribution of program latency under each policy, with the
// wasted cache tokens in the legend, and saves it as a PNG file.
func Plot(results []*Result, file string) error {
	chart := lineplot.Chart{XLabel: "program latency (s)", YLabel: "share of programs"}
	for _, r := range results {
		chart.Title = r.Trace
		line := lineplot.Line{Name: legend(r)}
		for i, d := range r.latencies {
			line.Points = append(line.Points, lineplot.Point{X: d.Seconds(), Y: float64(i+1) / float64(len(r.latencies))})
		}
		chart.Lines = append(chart.Lines, line)
	}
	return chart.Save(file)
}

func legend(r *Result) string {
	return r.Policy + ", wasted " + strconv.FormatInt(r.WastedCacheTokens/1000, 10) + "k tokens"
}
