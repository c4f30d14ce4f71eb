// Command capacity measures the slopes that docs/CAPACITY.md extrapolates: the
// resource usage of a process as the number of instances, replicas, customers,
// pipelines, revisions and requests grows. It prints one table per series with a
// linear fit of each column.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"quinceroad/proctest/rig"
)

const (
	example       = "examples/kalahari"
	settleTime    = 4 * time.Second // after a start or a change, before the measurement
	measuringTime = 8 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "folder of the binaries")
	only := flag.String("series", "", "only this series: instances, replicas, customers, pipelines, requests")
	flag.Parse()
	all := []struct {
		name string
		run  func(string) error
	}{
		{"instances", measureInstances},
		{"replicas", measureReplicas},
		{"customers", measureCustomers},
		{"pipelines", measurePipelines},
		{"requests", measureRequests},
	}
	for _, s := range all {
		if *only != "" && *only != s.name {
			continue
		}
		if err := s.run(*bin); err != nil {
			fmt.Fprintf(os.Stderr, "capacity: %s: %v\n", s.name, err)
			os.Exit(1)
		}
	}
}

// series holds the measured points of a table.
type series struct {
	title   string
	columns []string
	x       []float64
	y       [][]float64
}

func (s *series) add(x float64, y ...float64) {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
}

func (s *series) print() {
	fmt.Printf("\n%s\n", s.title)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "x")
	for _, c := range s.columns {
		fmt.Fprintf(t, "\t%s", c)
	}
	fmt.Fprintln(t)
	for i, x := range s.x {
		fmt.Fprintf(t, "%.4g", x)
		for _, y := range s.y[i] {
			fmt.Fprintf(t, "\t%.4g", y)
		}
		fmt.Fprintln(t)
	}
	fmt.Fprint(t, "fit")
	for c := range s.columns {
		y := make([]float64, len(s.x))
		for i := range s.x {
			y[i] = s.y[i][c]
		}
		a, b := fit(s.x, y)
		fmt.Fprintf(t, "\t%.4g + %.4g x", a, b)
	}
	fmt.Fprintln(t)
	_ = t.Flush()
}

// fit returns the coefficients of the least-squares line a + b x.
func fit(x, y []float64) (a, b float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		b = (n*sxy - sx*sy) / d
	}
	return (sy - b*sx) / n, b
}

// startRig starts a rig in a temporary folder and applies the declaration that
// text returns. With CoordCount there are no entries and no declaration is applied.
func startRig(o rig.Options, text func(*rig.Rig) string) (*rig.Rig, func(), error) {
	dir, err := os.MkdirTemp("", "quince-capacity-")
	if err != nil {
		return nil, nil, err
	}
	o.OutputDir, o.ExampleDir = dir, example
	r, err := rig.Start(o)
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		r.Close()
		_ = os.RemoveAll(dir)
	}
	if o.CoordCount > 0 {
		return r, stop, nil
	}
	if _, err := r.Confirm(text(r)); err != nil {
		stop()
		return nil, nil, err
	}
	return r, stop, nil
}
