// Command compare plays several ways of the sources on the same days with the
// same seeds, and prints what each is worth against the first. README.md tells
// how a comparison is written.
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
	command := flag.String("bench", os.Getenv("QUINCE_BENCH"), "the bench's command, run in a way's sources; its arguments follow")
	folder := flag.String("o", "target/compare", "folder for the ways' sources, the reports and the picture")
	journal := flag.String("journal", "journal", "folder to which the bench's journal entries are copied; empty for none")
	jobs := flag.Int("jobs", 1, "plays at once")
	flag.Parse()
	if err := compare(*command, *folder, *journal, *jobs, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// compare plays what is missing of a plan and prints the comparison.
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
	b.args, b.journal = plan.Args, journal
	if b.results, err = filepath.Abs(filepath.Join(folder, "reports")); err != nil {
		return err
	}
	if err := os.MkdirAll(b.results, 0o700); err != nil {
		return err
	}
	ways := make(map[string]*checkout)
	for i := range plan.Variants {
		w := &plan.Variants[i]
		if ways[w.Name], err = prepare(w, folder); err != nil {
			return err
		}
	}
	o := &outcome{plan: plan, results: b.all(plan.plays(), ways, max(jobs, 1), tell)}
	o.print(os.Stdout)
	return o.draw(filepath.Join(folder, base(args[0])+".svg"))
}

// tell prints a play's end.
func tell(p Run, r *Result, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s, %s: not played: %v\n", p.Pair, p.Variant.Name, err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s, %s: %.4f\n", p.Pair, p.Variant.Name, r.Worth)
	for rule := range r.BrokenRules {
		fmt.Fprintf(os.Stderr, "%s, %s: rule broken: %s\n", p.Pair, p.Variant.Name, rule)
	}
}
