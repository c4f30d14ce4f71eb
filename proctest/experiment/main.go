// Command experiment compares scheduling policies: it runs each scenario under
// each policy with real processes and the same arrivals and service times. It
// prints a table and checks the ratio of the attainment to that of the best
// baseline of the same run against proctest/experiment/bounds.toml.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
)

type options struct {
	bin, scenario, policy, bounds string
	seed                          uint64
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder of the binaries")
	flag.StringVar(&o.scenario, "scenario", "", "only scenarios whose names contain this")
	flag.StringVar(&o.policy, "policy", "", "only these, CHOICE:SHED, comma-separated, such as permits:2.5")
	flag.StringVar(&o.bounds, "bounds", "proctest/experiment/bounds.toml", "file of the minimum ratios to the best baseline")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of arrivals and inputs")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// bounds holds, by scenario, the minimum ratio of the attainment of the policy
// permits to that of the best baseline.
type bounds struct {
	Scenarios []scenarioBound `toml:"scenario"`
}

type scenarioBound struct {
	Name     string  `toml:"name"`
	MinRatio float64 `toml:"least_ratio"`
}

func run(o options) error {
	text, err := os.ReadFile(o.bounds)
	if err != nil {
		return err
	}
	var b bounds
	if err := toml.Unmarshal(text, &b); err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tPOLICY\tSENT\tATTAINMENT\tOF BOUND\tTO BASE\tP50\tP99\tBUSY\tWASTED\tFAILED\tREFUSED\tAFTER\tCOST\tBROKEN\tCUSTOMERS")
	failed := 0
	for _, s := range scenariosMatching(o.scenario) {
		n, err := compare(t, s, o, b)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		failed += n
		_ = t.Flush()
	}
	if failed > 0 {
		return fmt.Errorf("%d bounds missed or guarantees violated", failed)
	}
	return nil
}

// compare runs one scenario under each policy and returns the number of violated
// guarantees and missed bounds.
func compare(t *tabwriter.Writer, s scenario, o options, b bounds) (int, error) {
	best, failed := 0.0, 0
	for _, p := range selectPolicies(o.policy) {
		m, err := measure(s, p, o.bin, o.seed)
		if err != nil {
			return 0, err
		}
		if p.isBaseline {
			best = max(best, m.Attainment)
		}
		ratio := 0.0
		if best > 0 {
			ratio = m.Attainment / best
		}
		failed += m.Violations
		for _, sb := range b.Scenarios {
			if sb.Name == s.name && p.name == "permits" && best > 0 && ratio < sb.MinRatio {
				failed++
			}
		}
		printRow(t, s, p, m, ratio)
	}
	return failed, nil
}

func printRow(t *tabwriter.Writer, s scenario, p policy, m *metrics, ratio float64) {
	var customers []string
	for name, c := range m.ByCustomer {
		customers = append(customers, fmt.Sprintf("%s %.3f", name, c.Attainment()))
	}
	slices.Sort(customers)
	cost := 0.0
	for _, c := range m.StageCost {
		cost += c
	}
	fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.2f\t%.2f\t%s\t%s\t%.2f\t%.3f\t%d\t%d\t%s\t%.3f\t%d\t%s\n",
		s.name, p.name, m.Sent, m.Attainment, m.Attainment/max(m.AttainmentBound, 1e-9), ratio,
		m.P50.Round(time.Millisecond), m.P99.Round(time.Millisecond), m.Utilization, m.WastedShare,
		m.ByOutcome["failed"], m.ByOutcome["not_run"], m.RefusalLatency.Round(time.Millisecond), cost, m.Violations,
		strings.Join(customers, ", "))
}
