package load

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 12 * vg.Centimeter
	plotDecades = 4.0 // the plot ends at the latency exceeded by 1 in 10^4 requests
	plotStep    = 0.05
)

// Plot writes a plot of latency quantiles, on a logarithmic scale of the share of slower requests, with a line for each row.
// The file extension selects the format: .svg, .png or .pdf.
func (r *Result) Plot(file string) error {
	page := plot.New()
	page.Title.Text = "Latency from the planned start"
	page.X.Label.Text = "1 in 10^x requests is slower"
	page.Y.Label.Text = "ms"
	page.Legend.Top = true
	page.Legend.Left = true
	lines := make([]any, 0, 2*len(r.Rows))
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.Latency.TotalCount() == 0 {
			continue
		}
		lines = append(lines, row.Kind+" "+row.Variant.String(), latencyCurve(row))
	}
	if err := plotutil.AddLines(page, lines...); err != nil {
		return errors.Wrap(err, "draw plot")
	}
	return errors.Wrap(page.Save(plotWidth, plotHeight, file), "write plot")
}

func latencyCurve(row *Row) plotter.XYs {
	var points plotter.XYs
	for x := 0.0; x <= plotDecades; x += plotStep {
		latency := row.Quantile(1 - math.Pow(10, -x))
		points = append(points, plotter.XY{X: x, Y: float64(latency.Microseconds()) / 1000})
	}
	return points
}
