package main

import (
	"encoding/json"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// unpaired is a run that the baseline does not have.
var unpaired = Pair{Site: "other"}

func worthOf(values ...float64) Results {
	out := make(Results)
	for i, v := range values {
		out[Pair{Seed: uint64(i)}] = &Result{Worth: v}
	}
	return out
}

func TestDifferencesArePaired(t *testing.T) {
	is := is.New(t)
	baseline := worthOf(0.5, 0.6, 0.7, 0.2)
	variant := worthOf(0.52, 0.64, 0.7)
	variant[unpaired] = &Result{Worth: 0.9, BrokenRules: map[string]json.RawMessage{"TWICE": nil}} // the baseline has none
	d := pairedDifference(baseline, variant)
	is.Equal([]int{d.Pairs, d.BetterPairs, d.WorsePairs, d.InvalidRuns}, []int{3, 2, 0, 1})
	is.True(math.Abs(d.Mean-0.02) < 1e-9)
	is.True(math.Abs(d.StandardError-0.02/math.Sqrt(3)) < 1e-9) // differences 0.02, 0.04, 0
	d = pairedDifference(baseline, worthOf(0.4))
	is.Equal([]int{d.Pairs, d.BetterPairs, d.WorsePairs}, []int{1, 0, 1})
	is.True(math.IsNaN(d.StandardError)) // one pair gives no standard error
	is.True(math.IsNaN(pairedDifference(baseline, nil).Mean))
}

func TestPartsAndPricesAddUpToTheDifference(t *testing.T) {
	is := is.New(t)
	result := func(part, price float64) Results {
		return Results{Pair{}: {Parts: []component{{"whole day", 0.5, part}}, Prices: []component{{"calls", 12, price}, {"same", 1, 0.3}}}}
	}
	baseline, variant := result(0.8, 0.01), result(0.9, 0.03)
	variant[unpaired] = result(0, 9)[Pair{}] // without a pair
	a, b := meanContributions(baseline, baseline), meanContributions(baseline, variant)
	is.True(math.Abs(b["whole day"]-a["whole day"]-0.05) < 1e-9)
	is.True(math.Abs(b["calls"]-a["calls"]+0.02) < 1e-9)
	is.Equal(largestChanges(a, []map[string]float64{b}, minShownChange), []string{"whole day", "calls"})
}

// A comparison that is stopped halfway must have pairs: the variants of one day
// run in succession.
func TestVariantsOfOneDayRunInSuccession(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "plan.toml")
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write("sites = ['s.toml']\ndays = ['quiet-1', 'own.toml']\nseeds = [7]\nargs = ['--no-cpu']\n[[way]]\nname = 'a'\n[[way]]\nname = 'b'\npatch = 'b.patch'\n")
	p, err := readPlan(file)
	is.NoErr(err)
	var got []string
	for _, x := range p.runs() {
		got = append(got, x.String()+" "+x.Variant.Name)
	}
	is.Equal(got, []string{"s-quiet-1-7 a", "s-quiet-1-7 b", "s-own-7 a", "s-own-7 b"})
	is.Equal(p.Variants[1].Patch, filepath.Join(dir, "b.patch"))
	for _, wrong := range []string{
		"days = ['d']\n[[way]]\nname = 'a'\n[[way]]\nname = 'b'\n",
		"sites = ['s']\ndays = ['d']\n[[way]]\nname = 'a'\n",
		"sites = ['s']\ndays = ['d']\n[[way]]\nname = 'a'\n[[way]]\nname = 'a'\n",
		"sites = ['s']\ndays = ['d']\n[[way]]\nname = 'a'\n[[way]]\nname = 'b'\ntree = 't'\nrevision = 'HEAD'\n",
	} {
		write(wrong)
		_, err := readPlan(file)
		is.True(err != nil)
	}
}

func TestEditRequiresOneMatch(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	name := filepath.Join(dir, "f")
	is.NoErr(os.WriteFile(name, []byte("x = 1\ny = 1\n"), 0o600))
	is.NoErr(Edit{File: "f", From: "x = 1", To: "x = 2"}.apply(dir))
	text, err := os.ReadFile(name)
	is.NoErr(err)
	is.Equal(string(text), "x = 2\ny = 1\n")
	is.True(Edit{File: "f", From: "z", To: ""}.apply(dir) != nil)
	is.True(Edit{File: "f", From: "=", To: ""}.apply(dir) != nil) // two matches
}

func TestMissingBenchIsAnError(t *testing.T) {
	is := is.New(t)
	for _, command := range []string{"", filepath.Join(t.TempDir(), "none") + " 1"} {
		_, err := newBench(command)
		is.True(errors.Is(err, errNoBench))
	}
}

// A completed run is not repeated; a failed run is, and so are the runs of a
// variant whose sources changed. The stand-in for the bench writes a line for each
// call and, except for the day named bad, a report.
func TestStoppedComparisonIsContinued(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	script := filepath.Join(dir, "bench")
	is.NoErr(os.WriteFile(script, []byte(`#!/bin/sh
echo "$*" >>calls
[ "$3" = bad ] || echo '{"G": 0.5, "parts": [["whole day", 1, 0.5]], "breaks": {}}' >"$7"
`), 0o700))
	b, err := newBench(script)
	is.NoErr(err)
	b.reportDir, b.args = dir, []string{"--no-cpu"}
	variants := []Variant{{Name: "a"}, {Name: "b"}}
	plan := &Plan{Sites: []string{"s.toml"}, Days: []string{"good", "bad"}, Seeds: []uint64{3}, Variants: variants}
	checkouts := map[string]*checkout{"a": {dir: dir, digest: "1"}, "b": {dir: dir, digest: "2"}}
	failed := 0
	runAll := func() map[string]Results {
		return b.runAll(plan.runs(), checkouts, 1, func(_ Run, _ *Result, err error) {
			if err != nil {
				failed++
			}
		})
	}
	calls := func() int {
		text, err := os.ReadFile(filepath.Join(dir, "calls"))
		is.NoErr(err)
		return strings.Count(string(text), "run s.toml ")
	}
	results := runAll()
	is.Equal(calls(), 4)
	is.Equal(failed, 2)
	is.Equal(len(results["a"]), 1)
	is.Equal(results["b"][Pair{"s", "good", 3}].Worth, 0.5)
	runAll()
	is.Equal(calls(), 6) // the day named bad is run again
	checkouts["b"].digest = "3"
	runAll()
	is.Equal(calls(), 9)
	var out strings.Builder
	o := &comparison{plan: plan, results: results}
	o.print(&out)
	is.True(strings.Contains(out.String(), "| s | b | 1 | 0.5000 | +0.0000 | NaN | 0 | 0 | 0 |"))
	is.NoErr(o.draw(filepath.Join(dir, "p.svg")))
}

// The name of a site may be a prefix of another site's name.
func TestResultsOfASiteExcludeSitesWithTheSamePrefix(t *testing.T) {
	is := is.New(t)
	o := &comparison{results: map[string]Results{"a": {Pair{Site: "one", Day: "d"}: {}, Pair{Site: "one-grown", Day: "d"}: {}}}}
	is.Equal(len(o.resultsOf("a", "x/one.toml")), 1)
	is.Equal(len(o.resultsOf("a", "")), 2)
}
