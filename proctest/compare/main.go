// Command compare runs several variants of the sources through the users' bench, on the
// same days (scenarios of load and faults) with the same seeds. It prints the
// difference in worth (the bench's score of a run, at most 1) of each variant to the
// first, the baseline. README.md describes the plan of a comparison.
//
//	go run ./proctest/compare -bench PATH -jobs 2 plan.toml
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	command := flag.String("bench", os.Getenv("QUINCE_BENCH"), "the bench's command, run in a variant's checkout; its arguments follow")
	folder := flag.String("o", "target/compare", "folder for the variants' checkouts, the reports and the plot")
	journal := flag.String("journal", "journal", "folder to which the bench's journal entries are copied; empty for none")
	jobs := flag.Int("jobs", 1, "number of concurrent runs")
	flag.Parse()
	if err := compare(*command, *folder, *journal, *jobs, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// compare performs the missing runs of a plan and prints the comparison.
func compare(command, folder, journal string, jobs int, args []string) error {
	if len(args) != 1 {
		return errors.New("one plan is needed, a TOML file")
	}
	plan, err := readPlan(args[0])
	if err != nil {
		return err
	}
	b, err := newBench(command)
	if err != nil {
		return err
	}
	b.args, b.journalDir = plan.Args, journal
	if b.reportDir, err = filepath.Abs(filepath.Join(folder, "reports")); err != nil {
		return err
	}
	if err := os.MkdirAll(b.reportDir, 0o700); err != nil {
		return err
	}
	checkouts := make(map[string]*checkout)
	for i := range plan.Variants {
		v := &plan.Variants[i]
		if checkouts[v.Name], err = checkOut(v, folder); err != nil {
			return err
		}
	}
	o := &comparison{plan: plan, results: b.runAll(plan.runs(), checkouts, max(jobs, 1), logRun)}
	o.print(os.Stdout)
	return o.draw(filepath.Join(folder, baseName(args[0])+".svg"))
}

// logRun prints the result of a run to stderr.
func logRun(run Run, r *Result, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s, %s: run failed: %v\n", run.Pair, run.Variant.Name, err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s, %s: %.4f\n", run.Pair, run.Variant.Name, r.Worth)
	for rule := range r.BrokenRules {
		fmt.Fprintf(os.Stderr, "%s, %s: rule broken: %s\n", run.Pair, run.Variant.Name, rule)
	}
}
