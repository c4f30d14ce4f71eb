package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// Result is the part of the bench's report of a run that is compared.
type Result struct {
	Worth       float64                    `json:"G"`
	Fault       any                        `json:"fault"`
	BrokenRules map[string]json.RawMessage `json:"breaks"` // by name
	Parts       []component                `json:"parts"`  // name, weight, score reached, from 0 to 1
	Prices      []component                `json:"prices"` // name, amount, worth deducted
}

// Results holds the results of one variant.
type Results map[Pair]*Result

// component is a part of the worth or a price. It is encoded as a JSON array of
// its name and two numbers.
type component struct {
	name          string
	amount, value float64
}

// UnmarshalJSON decodes the array of a name and two numbers.
func (c *component) UnmarshalJSON(data []byte) error {
	row := []any{&c.name, &c.amount, &c.value}
	return json.Unmarshal(data, &row)
}

// bench runs the bench command in the checkouts of variants and stores its
// reports.
type bench struct {
	command    []string // of the bench, with arguments that precede its own
	args       []string // additional arguments of each run
	reportDir  string   // folder of the reports
	journalDir string   // folder to which the bench's journal entries are copied; empty for none
}

var errNoBench = errors.New("no bench: set its command with -bench or QUINCE_BENCH; nothing was run")

// newBench splits the bench's command and checks that its program exists.
func newBench(command string) (*bench, error) {
	words := strings.Fields(command)
	if len(words) == 0 {
		return nil, errNoBench
	}
	if _, err := exec.LookPath(words[0]); err != nil {
		return nil, errors.Join(errNoBench, err)
	}
	return &bench{command: words}, nil
}

// reportPath returns the file name of a run's report. It contains the digest of
// the sources, so that a variant is run again when its sources change.
func (b *bench) reportPath(run Run, c *checkout) string {
	return filepath.Join(b.reportDir, fmt.Sprintf("%s-%s-%s.json", run.Pair, strings.ReplaceAll(run.Variant.Name, " ", "_"), c.digest))
}

// readResult reads a result from a report file.
func readResult(name string) (*Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}

// runOnce runs a day, unless its report exists from an earlier call.
func (b *bench) runOnce(run Run, c *checkout) (*Result, error) {
	report := b.reportPath(run, c)
	if r, err := readResult(report); err == nil {
		return r, nil
	}
	partial := report + ".half" // a run that is stopped must not leave a report that looks complete
	args := append(append([]string{}, b.command[1:]...), "run", run.site, run.day, "--jobs", "1", "--report", partial, "--why", "compare: "+run.Variant.Name)
	if run.Seed != 0 {
		args = append(args, "--seed", strconv.FormatUint(run.Seed, 10))
	}
	_, runErr := runCommand(c.dir, b.command[0], append(args, b.args...)...)
	if err := b.copyJournal(c); err != nil {
		return nil, err
	}
	r, err := readResult(partial)
	if err != nil { // the bench may exit with an error and leave a report when a rule was broken
		return nil, errors.Join(runErr, err)
	}
	return r, os.Rename(partial, report)
}

// copyJournal copies the journal entries that the bench wrote into a variant's
// checkout.
func (b *bench) copyJournal(c *checkout) error {
	if b.journalDir == "" {
		return nil
	}
	entries, err := filepath.Glob(filepath.Join(c.dir, "journal", "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(b.journalDir, filepath.Base(from))
		data, err := os.ReadFile(from)
		if err != nil {
			return err
		}
		if kept, err := os.ReadFile(to); err == nil && bytes.Equal(kept, data) {
			continue // an entry that differs was copied before its run had ended
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// runAll plays all days, up to jobs at once, and returns the results by variant and
// pair. The function done is called after each run. A run that fails has no result;
// the next call repeats it.
func (b *bench) runAll(runs []Run, checkouts map[string]*checkout, jobs int, done func(Run, *Result, error)) map[string]Results {
	var mu sync.Mutex
	out := make(map[string]Results)
	for name := range checkouts {
		out[name] = make(Results)
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, jobs)
	for _, run := range runs {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r, err := b.runOnce(run, checkouts[run.Variant.Name])
			mu.Lock()
			defer mu.Unlock()
			done(run, r, err)
			if err == nil {
				out[run.Variant.Name][run.Pair] = r
			}
		})
	}
	wait.Wait()
	return out
}
