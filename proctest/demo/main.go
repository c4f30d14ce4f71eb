// Command demo starts an example deployment, applies its declaration by plan and
// confirm, sends requests, and prints an answer and a summary.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/coordination/outcome"
	"quinceroad/proctest/rig"
)

const (
	rate     = 50 // requests per second
	duration = 5 * time.Second
	deadline = 2 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "folder of the binaries")
	example := flag.String("example", "examples/kalahari", "folder of the deployment")
	flag.Parse()
	if err := run(*bin, *example); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(bin, example string) error {
	dir, err := os.MkdirTemp("", "quince-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r, err := rig.Start(rig.Options{ExampleDir: example, BinDir: bin, OutputDir: dir, UseExamplePorts: true})
	if err != nil {
		return err
	}
	defer r.Close()
	fmt.Printf("%d instances, each an entry and a coord, and %d services are up\n", len(r.Instances), len(r.Fleet.Services))
	done, err := r.Confirm(r.Declaration)
	if err != nil {
		return err
	}
	fmt.Printf("plan %s confirmed, revision %d in force at every entry\n", done.Plan, done.Revision)
	if err := sendOne(r); err != nil {
		return err
	}
	return sendLoad(r)
}

// sendOne sends one request and prints its answer.
func sendOne(r *rig.Rig) error {
	p := r.Fleet.Pipelines[0]
	caller := load.NewCaller("key-"+r.Fleet.Customers[0].Name, r.Fleet.Halls[0], r.Entries())
	resp := caller.Do(load.Request{Pipeline: p.Name, Input: "May a blast be fired while the hoist is in use?", Deadline: p.Deadline()})
	if resp.Outcome != outcome.Done {
		return fmt.Errorf("the first request was not done: %s %s", resp.Outcome, resp.Code)
	}
	b, err := json.MarshalIndent(resp.Stages, "", "  ")
	if err != nil {
		return err
	}
	fmt.Printf("\none %s, %s in %s\noutput: %.70s...\nstages: %s\n\n", p.Name, resp.Outcome, resp.Answered.Sub(resp.Intended).Round(time.Microsecond), resp.Output, b)
	return nil
}

// sendLoad sends requests to every pipeline for a few seconds and checks the
// answers against the upstreams' journal.
func sendLoad(r *rig.Rig) error {
	var mix []load.Mix
	for i, p := range r.Fleet.Pipelines {
		c := r.Fleet.Customers[i%len(r.Fleet.Customers)]
		mix = append(mix, load.Mix{
			Customer: c.Name, Hall: r.Fleet.Halls[i%len(r.Fleet.Halls)], Pipeline: p.Name, Share: 1,
			Deadline: min(deadline, p.Deadline()), Stream: i%2 == 0 && p.Repeatable, Ticketed: !p.Repeatable,
		})
	}
	res := load.Run(load.Options{Entries: r.Entries(), Mix: mix, Phases: []load.Phase{{Duration: duration, Rate: rate}}, Seed: 1})
	sum := res.Summarize()
	fmt.Println(sum)
	journal, err := r.Journal()
	if err != nil {
		return err
	}
	violations := check.All(r.Fleet, res.Responses, journal)
	for _, v := range violations {
		fmt.Println("violation:", v)
	}
	fmt.Printf("checked %d answers against %d executions: %d violations\n", len(res.Responses), len(journal), len(violations))
	switch {
	case len(violations) > 0:
		return fmt.Errorf("%d violations", len(violations))
	case sum.ByOutcome[outcome.Done] != sum.Sent:
		return fmt.Errorf("%d of %d requests were not done", sum.Sent-sum.ByOutcome[outcome.Done], sum.Sent)
	}
	return nil
}
