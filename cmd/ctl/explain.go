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

// explain reads logs and prints the trace of one request: its log lines in order of
// time, a verdict, and concurrent events of the replicas and instances involved.
func (c *client) explain(id string, files []string) (int, error) {
	trace := newRequestTrace(id)
	for _, visit := range []func(*logLine){trace.addRequestLine, trace.addContextLine} {
		for _, name := range files {
			if err := readLog(name, visit); err != nil {
				return process.ExitUsage, err
			}
		}
	}
	if len(trace.requestLines) == 0 {
		return process.ExitFailure, fmt.Errorf("no line of these logs names request %s; an instance that is killed logs no end of what it had taken", id)
	}
	c.printLines(trace.requestLines)
	fmt.Fprintf(c.out, "\n%s\n", trace.verdict())
	if len(trace.contextLines) > 0 {
		fmt.Fprintf(c.out, "\nBeside it, from %v before it:\n\n", contextBefore)
		c.printLines(trace.contextLines)
	}
	return process.ExitOK, nil
}

// printLines prints log lines with their fields in order of their timestamps.
func (c *client) printLines(lines []*logLine) {
	slices.SortStableFunc(lines, func(a, b *logLine) int { return cmp.Compare(a.timestamp, b.timestamp) })
	for _, l := range lines {
		fmt.Fprintf(c.out, "%s  %-18s %s\n", l.timestamp, l.instance, l.eventName)
		for _, f := range l.fields {
			fmt.Fprintf(c.out, "    %-12s %s\n", f.name, f.value)
		}
	}
}

// checkConfiguration prints all findings of a configuration file in the format of the
// platform's store.
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

// rules prints the rules that a configuration is checked against.
func (c *client) rules() (int, error) {
	for _, r := range review.Rules() {
		fmt.Fprintf(c.out, "%-16s %s\n", r.Name, r.Description)
	}
	return process.ExitOK, nil
}
