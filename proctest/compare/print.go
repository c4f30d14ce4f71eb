package main

import (
	"fmt"
	"io"
	"strings"
)

// leastShown is the worth by which a part or price must move to be printed:
// the bench tells four digits, and less is noise.
const leastShown = 0.0005

// outcome is what was played: by way, by pair.
type outcome struct {
	plan    *Plan
	results map[string]Results
}

// of returns a way's results of one site; of all when the site is "".
func (o *outcome) of(way, site string) Results {
	out := make(Results)
	for pair, r := range o.results[way] {
		if site == "" || pair.Site == base(site) {
			out[pair] = r
		}
	}
	return out
}

// print writes the comparison as tables in Markdown.
func (o *outcome) print(w io.Writer) {
	first := o.plan.Variants[0].Name
	fmt.Fprintf(w, "Against %s, paired by site, day and seed.\n\n", first)
	fmt.Fprintln(w, "| site | way | pairs | worth | difference | standard error | better | worse | broken |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, site := range append(append([]string{}, o.plan.Sites...), "") {
		for _, way := range o.plan.Variants {
			o.printRow(w, site, way.Name)
		}
	}
	for _, site := range o.plan.Sites {
		o.printParts(w, site)
	}
}

func (o *outcome) printRow(w io.Writer, site, way string) {
	results := o.of(way, site)
	d := compareTo(o.of(o.plan.Variants[0].Name, site), results)
	var worth []float64
	for _, r := range results {
		worth = append(worth, r.Worth)
	}
	mean, _ := meanError(worth)
	name := "all"
	if site != "" {
		name = base(site)
	}
	fmt.Fprintf(w, "| %s | %s | %d | %.4f | %+.4f | %.4f | %d | %d | %d |\n", name, way, d.Pairs, mean, d.Mean, d.StandardError, d.BetterPairs, d.WorsePairs, d.InvalidRuns)
}

// printParts writes which parts of the worth and which prices moved on a site.
func (o *outcome) printParts(w io.Writer, site string) {
	first := o.of(o.plan.Variants[0].Name, site)
	base0 := worths(first, first)
	var others []map[string]float64
	head := []string{"part or price on " + base(site), o.plan.Variants[0].Name}
	for _, way := range o.plan.Variants[1:] {
		others = append(others, worths(first, o.of(way.Name, site)))
		head = append(head, way.Name)
	}
	fmt.Fprintf(w, "\n| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, name := range moved(base0, others, leastShown) {
		cells := []string{name, fmt.Sprintf("%.4f", base0[name])}
		for _, other := range others {
			cells = append(cells, fmt.Sprintf("%+.4f", other[name]-base0[name]))
		}
		fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
}
