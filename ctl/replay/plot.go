package replay

import (
	"strconv"

	"github.com/pistachioarch/pistachioarch/ctl/lineplot"
)

// Plot draws the distribution of program latency under each policy, with the
// wasted cache in the legend, and saves it as PNG.
func Plot(results []*Result, file string) error {
	p := lineplot.Chart{XLabel: "program latency (s)", YLabel: "share of programs"}
	for _, r := range results {
		p.Title = r.Trace
		line := lineplot.Line{Name: legend(r)}
		for i, d := range r.latencies {
			line.Points = append(line.Points, lineplot.Point{X: d.Seconds(), Y: float64(i+1) / float64(len(r.latencies))})
		}
		p.Lines = append(p.Lines, line)
	}
	return p.Save(file)
}

func legend(r *Result) string {
	return r.Policy + ", wasted " + strconv.FormatInt(r.WastedCacheTokens/1000, 10) + "k tokens"
}
