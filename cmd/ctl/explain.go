package ctl

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"quinceroad/cmd/process"
	"quinceroad/coordination/review"
	"quinceroad/platform"
)

// explain reads logs and prints the story of one request: its own lines in
// order, a verdict, and what was logged meanwhile of those that it met.
func (c *client) explain(id string, files []string) (int, error) {
	s := newStory(id)
	for _, take := range []func(*logLine){s.takeOwn, s.takeOthers} {
		for _, name := range files {
			if err := readLog(name, take); err != nil {
				return process.ExitUsage, err
			}
		}
	}
	if len(s.own) == 0 {
		return process.ExitFailure, fmt.Errorf("no line of these logs names request %s; an instance that is killed logs no end of what it had taken", id)
	}
	c.printLines(s.own)
	fmt.Fprintf(c.out, "\n%s\n", s.verdict())
	if len(s.others) > 0 {
		fmt.Fprintf(c.out, "\nBeside it, from %v before it:\n\n", before)
		c.printLines(s.others)
	}
	return process.ExitOK, nil
}

// printLines prints lines of logs in the order of their times.
func (c *client) printLines(lines []*logLine) {
	slices.SortStableFunc(lines, func(a, b *logLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		fmt.Fprintf(c.out, "%s  %-18s %s\n", l.at, l.instance, l.what)
		for _, f := range l.fields {
			fmt.Fprintf(c.out, "    %-12s %s\n", f.name, f.value)
		}
	}
}

// checkConfiguration prints all faults of a configuration as the operator
// writes it into the platform's store.
func (c *client) checkConfiguration(name string) (int, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return process.ExitUsage, err
	}
	config, err := platform.ParseConfiguration(data)
	if err != nil {
		return process.ExitUsage, err
	}
	findings := review.Check(config)
	for _, f := range findings {
		fmt.Fprintf(c.out, "%s: %s: %s (%s)\n", name, f.Place, f.Text, f.Rule)
	}
	fmt.Fprintf(c.out, "version %d: %d routes, %d services, %d keys; %d findings\n", config.Version, len(config.Routes), len(config.Services), len(config.Customers), len(findings))
	if len(findings) > 0 {
		return process.ExitFailure, nil
	}
	return process.ExitOK, nil
}

// rules prints what a configuration is held against.
func (c *client) rules() (int, error) {
	for _, r := range review.Rules() {
		fmt.Fprintf(c.out, "%-16s %s\n", r.Name, r.Description)
	}
	return process.ExitOK, nil
}
