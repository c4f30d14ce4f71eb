// Command quince-load sends an open-loop load to a deployment and checks the responses
// against the executions that the upstreams journalled.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/cmd/process"
	"quinceroad/protocol/settings"
	"quinceroad/state/fleet"
)

const usage = `usage: quince-load -fleet FILE -entries IP:PORT[,IP:PORT] [-rate N] [-for D]

Sends every pipeline of the declaration in equal shares, customer by customer,
and prints attainment, latency and violated guarantees.

example:
  quince-load -fleet examples/kalahari/fleet.toml -entries 127.0.0.1:21010 -journal 127.0.0.1:21001 -rate 100 -for 10s

exit codes: 0 no guarantee was violated, 1 one was or the load failed, 2 bad arguments

`

type options struct {
	fleet, entries, journal, pipeline string
	rate, burst                       float64
	duration, burstFor                time.Duration
	seed                              uint64
}

func main() {
	var o options
	flags := flag.NewFlagSet("quince-load", flag.ExitOnError)
	flags.StringVar(&o.fleet, "fleet", "", "the declaration in force")
	flags.StringVar(&o.entries, "entries", "", "entries to ask for addresses, comma-separated")
	flags.StringVar(&o.journal, "journal", "", "control address of the stand-in upstreams; empty: no check")
	flags.StringVar(&o.pipeline, "pipeline", "", "only this pipeline")
	flags.Float64Var(&o.rate, "rate", 50, "requests per second")
	flags.DurationVar(&o.duration, "for", 10*time.Second, "duration of the load at that rate")
	flags.Float64Var(&o.burst, "burst", 0, "requests per second of a burst in the middle; 0: none")
	flags.DurationVar(&o.burstFor, "burst-for", 10*time.Second, "duration of the burst")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of arrivals and inputs")
	version := flags.Bool("version", false, "print the version and exit")
	flags.Usage = func() { fmt.Fprint(flags.Output(), usage); flags.PrintDefaults() }
	_ = flags.Parse(os.Args[1:]) // exits on error
	if *version {
		fmt.Println("quince-load", process.Version)
		return
	}
	f, err := process.Load(o.fleet, settings.LoadFleet)
	if err == nil && o.entries == "" {
		err = errors.New("-entries is missing")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "quince-load:", err)
		os.Exit(process.ExitUsage)
	}
	if err := run(f, o); err != nil {
		fmt.Fprintln(os.Stderr, "quince-load:", err)
		os.Exit(process.ExitFailure)
	}
}

func run(f *fleet.Fleet, o options) error {
	opts := load.Options{Entries: strings.Split(o.entries, ","), Seed: o.seed, Phases: []load.Phase{{Duration: o.duration, Rate: o.rate}}}
	if o.burst > 0 {
		opts.Phases = append(opts.Phases, load.Phase{Duration: o.burstFor, Rate: o.burst}, load.Phase{Duration: o.duration, Rate: o.rate})
	}
	for i, p := range f.Pipelines {
		if o.pipeline != "" && o.pipeline != p.Name {
			continue
		}
		opts.Mix = append(opts.Mix, load.Mix{
			Customer: f.Customers[i%len(f.Customers)].Name, Hall: f.Halls[i%len(f.Halls)],
			Pipeline: p.Name, Share: 1, Deadline: p.Deadline(), Ticketed: !p.Repeatable,
		})
	}
	if len(opts.Mix) == 0 {
		return fmt.Errorf("no pipeline is named %q", o.pipeline)
	}
	res := load.Run(opts)
	fmt.Println(res.Summarize())
	if o.journal == "" {
		return nil
	}
	journal, err := load.Journal(o.journal)
	if err != nil {
		return err
	}
	violations := check.All(f, res.Responses, journal)
	for _, v := range violations {
		fmt.Println("violation:", v)
	}
	fmt.Printf("checked %d answers against %d executions: %d violations\n", len(res.Responses), len(journal), len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("%d violations", len(violations))
	}
	return nil
}
