package main

import (
	"fmt"
	"io"
	"strings"
)

// minShownChange is the smallest change of a part or price that is printed, in
// worth: the bench reports four digits, and smaller changes are noise.
const minShownChange = 0.0005

// comparison holds the results of a plan by variant and pair.
type comparison struct {
	plan    *Plan
	results map[string]Results
}

// resultsOf returns a variant's results of one site, or of all sites if site is
// empty.
func (o *comparison) resultsOf(variant, site string) Results {
	out := make(Results)
	for pair, r := range o.results[variant] {
		if site == "" || pair.Site == baseName(site) {
			out[pair] = r
		}
	}
	return out
}

// print writes the comparison as Markdown tables.
func (o *comparison) print(w io.Writer) {
	baseline := o.plan.Variants[0].Name
	fmt.Fprintf(w, "Against %s, paired by site, day and seed.\n\n", baseline)
	fmt.Fprintln(w, "| site | way | pairs | worth | difference | standard error | better | worse | broken |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, site := range append(append([]string{}, o.plan.Sites...), "") {
		for _, variant := range o.plan.Variants {
			o.printRow(w, site, variant.Name)
		}
	}
	for _, site := range o.plan.Sites {
		o.printParts(w, site)
	}
}

func (o *comparison) printRow(w io.Writer, site, variant string) {
	results := o.resultsOf(variant, site)
	d := pairedDifference(o.resultsOf(o.plan.Variants[0].Name, site), results)
	var worth []float64
	for _, r := range results {
		worth = append(worth, r.Worth)
	}
	mean, _ := meanAndError(worth)
	name := "all"
	if site != "" {
		name = baseName(site)
	}
	fmt.Fprintf(w, "| %s | %s | %d | %.4f | %+.4f | %.4f | %d | %d | %d |\n", name, variant, d.Pairs, mean, d.Mean, d.StandardError, d.BetterPairs, d.WorsePairs, d.InvalidRuns)
}

// printParts writes a table of the parts of the worth and the prices that changed
// on a site.
func (o *comparison) printParts(w io.Writer, site string) {
	baseline := o.resultsOf(o.plan.Variants[0].Name, site)
	reference := meanContributions(baseline, baseline)
	var others []map[string]float64
	head := []string{"part or price on " + baseName(site), o.plan.Variants[0].Name}
	for _, variant := range o.plan.Variants[1:] {
		others = append(others, meanContributions(baseline, o.resultsOf(variant.Name, site)))
		head = append(head, variant.Name)
	}
	fmt.Fprintf(w, "\n| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, name := range largestChanges(reference, others, minShownChange) {
		cells := []string{name, fmt.Sprintf("%.4f", reference[name])}
		for _, contributions := range others {
			cells = append(cells, fmt.Sprintf("%+.4f", contributions[name]-reference[name]))
		}
		fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
}
