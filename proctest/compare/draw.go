package main

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// bars are points with the standard error to both sides.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

// draw writes a picture: for each site the difference of each way to the
// first, with its standard error.
func (o *outcome) draw(name string) error {
	p := plot.New()
	p.Title.Text = "Worth against " + o.plan.Variants[0].Name
	p.Y.Label.Text = "difference, with standard error"
	p.Legend.Top = true
	var sites []string
	for _, site := range o.plan.Sites {
		sites = append(sites, base(site))
	}
	p.NominalX(sites...)
	p.Add(plotter.NewGrid())
	for i, way := range o.plan.Variants[1:] {
		points := o.points(way.Name, float64(i)/float64(2*len(o.plan.Variants)))
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
		p.Legend.Add(way.Name, scatter)
	}
	const height, left, each = 10, 6, 5 // centimetres
	return p.Save(vg.Length(left+each*len(sites))*vg.Centimeter, height*vg.Centimeter, name)
}

// points returns a way's difference on each site that has pairs, moved to the
// right by a share of a site's room.
func (o *outcome) points(way string, right float64) bars {
	var out bars
	for x, site := range o.plan.Sites {
		d := compareTo(o.of(o.plan.Variants[0].Name, site), o.of(way, site))
		if d.Pairs == 0 {
			continue
		}
		spread := d.StandardError
		if math.IsNaN(spread) {
			spread = 0
		}
		out.XYs = append(out.XYs, plotter.XY{X: float64(x) + right, Y: d.Mean})
		out.YErrors = append(out.YErrors, struct{ Low, High float64 }{spread, spread})
	}
	return out
}
