// Pairs plays each two troubles of a deployment beside each other on the users' bench; see its
// README.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"quinceroad/deploy/days/pairs/cover"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pairs:", err)
		os.Exit(1)
	}
}

// options are the flags.
type options struct {
	bench, site, out, kinds string
	seed                    uint64
	sample                  float64
	jobs, shrink            int
}

func parseOptions() options {
	var o options
	flag.StringVar(&o.bench, "bench", "", "program that plays days")
	flag.StringVar(&o.site, "site", "", "site file")
	flag.StringVar(&o.out, "out", "", "folder for the days and what their plays print; a temporary one if empty")
	flag.StringVar(&o.kinds, "kinds", "deploy/days/pairs/kinds.toml", "variants of troubles")
	flag.Uint64Var(&o.seed, "seed", 1, "draws the order of the pairs, and the sample")
	flag.Float64Var(&o.sample, "sample", 1, "share of the days that are played, 0 to 1")
	flag.IntVar(&o.jobs, "jobs", 4, "days that are played beside each other; 0: the days are only written")
	flag.IntVar(&o.shrink, "shrink", 16, "plays to shrink a day that breaks a rule")
	flag.Parse()
	return o
}

func run() error {
	o := parseOptions()
	s, err := readSite(o.site)
	if err != nil {
		return err
	}
	variants := make(map[string][]string)
	data, err := os.ReadFile(o.kinds)
	if err != nil {
		return err
	}
	if err := toml.Unmarshal(data, &variants); err != nil {
		return fmt.Errorf("%s: %w", o.kinds, err)
	}
	if o.out == "" {
		if o.out, err = os.MkdirTemp("", "pairs-"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	b := &bench{program: o.bench, site: o.site, dir: o.out, planned: s.plannedKinds()}
	troubles := withVariants(s.Troubles, variants)
	days := cover.Sample(cover.Plan(troubles, o.seed), o.sample, o.seed)
	fmt.Printf("%s: %d troubles, %d days, in %s\n", filepath.Base(o.site), len(troubles), len(days), o.out)
	if o.jobs == 0 {
		for i := range days {
			if err := writeDay(filepath.Join(o.out, days[i].Name+".toml"), &days[i], days[i].Entries, b.planned); err != nil {
				return err
			}
		}
		return nil
	}
	return b.playAll(days, o.jobs, o.shrink)
}

// playAll plays the days and prints progress and the table of what broke.
func (b *bench) playAll(days []cover.Day, jobs, shrink int) error {
	var mu sync.Mutex
	pairs, played, broken := 0, 0, 0
	var notPlayed []error
	var group errgroup.Group
	group.SetLimit(jobs)
	for i := range days {
		d := &days[i]
		group.Go(func() error {
			rules, err := b.play(d, d.Entries, "")
			finding := ""
			if rules != "" {
				finding = b.shrinkDay(d, rules, shrink)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notPlayed = append(notPlayed, err)
				return nil
			}
			played++
			pairs += len(d.Pairs)
			if rules != "" {
				broken++
				fmt.Print(finding)
			}
			if played%10 == 0 {
				fmt.Printf("%d of %d days, %d pairs, %d days with a rule broken\n", played, len(days), pairs, broken)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d pairs in %d days played, %d not; %d days with a rule broken\n", pairs, played, len(notPlayed), broken)
	for _, err := range notPlayed {
		fmt.Println("not played:", err)
	}
	return nil
}

// shrinkDay returns a text of the fewest entries that were found to break rules in a day.
func (b *bench) shrinkDay(d *cover.Day, rules string, asks int) string {
	asked := 0
	least := cover.Shrink(d.Entries, asks, func(entries []cover.Entry) bool {
		asked++
		found, err := b.play(d, entries, fmt.Sprintf("-shrunk-%d", asked))
		return err == nil && found != ""
	})
	out := fmt.Sprintf("%s: %s; after %d plays more it takes:\n", d.Name, rules, asked)
	for _, e := range least {
		out += fmt.Sprintf("  at %4.1f %v\n", e.At, e.Trouble)
	}
	return out
}
