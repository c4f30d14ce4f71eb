package main

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// errorPoints are points with the standard error as a symmetric error bar.
type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}

// draw writes a plot of the difference of each variant to the baseline, by site,
// with its standard error.
func (o *comparison) draw(name string) error {
	p := plot.New()
	p.Title.Text = "Worth against " + o.plan.Variants[0].Name
	p.Y.Label.Text = "difference, with standard error"
	p.Legend.Top = true
	var sites []string
	for _, site := range o.plan.Sites {
		sites = append(sites, baseName(site))
	}
	p.NominalX(sites...)
	p.Add(plotter.NewGrid())
	for i, variant := range o.plan.Variants[1:] {
		points := o.points(variant.Name, float64(i)/float64(2*len(o.plan.Variants)))
		if len(points.XYs) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points.XYs)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		errors, err := plotter.NewYErrorBars(points)
		if err != nil {
			return err
		}
		errors.Color = plotutil.Color(i)
		p.Add(scatter, errors)
		p.Legend.Add(variant.Name, scatter)
	}
	const height, left, each = 10, 6, 5 // centimetres
	return p.Save(vg.Length(left+each*len(sites))*vg.Centimeter, height*vg.Centimeter, name)
}

// points returns a variant's difference on each site that has pairs, moved to the
// right by offset, where 1 is the distance between two sites.
func (o *comparison) points(variant string, offset float64) errorPoints {
	var out errorPoints
	for x, site := range o.plan.Sites {
		d := pairedDifference(o.resultsOf(o.plan.Variants[0].Name, site), o.resultsOf(variant, site))
		if d.Pairs == 0 {
			continue
		}
		margin := d.StandardError
		if math.IsNaN(margin) {
			margin = 0
		}
		out.XYs = append(out.XYs, plotter.XY{X: float64(x) + offset, Y: d.Mean})
		out.YErrors = append(out.YErrors, struct{ Low, High float64 }{margin, margin})
	}
	return out
}
