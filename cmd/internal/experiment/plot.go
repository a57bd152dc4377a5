package experiment

import (
	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws the token throughput over time of each policy of one scenario into
// a file, whose extension selects the format, such as .svg or .png.
func Plot(results []Result, file string) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens a second made"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, r := range results {
		p.Title.Text = r.Scenario
		line, err := plotter.NewLine(points(r.Throughput))
		if err != nil {
			return oops.Code("plot_failed").With("policy", r.Policy).Wrap(err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return oops.Code("plot_failed").With("file", file).Wrap(err)
	}
	return nil
}

func points(series []float64) plotter.XYs {
	xys := make(plotter.XYs, len(series))
	for i, value := range series {
		xys[i] = plotter.XY{X: float64(i) * SeriesStep.Seconds(), Y: value}
	}
	return xys
}
