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

// Result is what the bench's report says of a play.
type Result struct {
	Worth       float64                    `json:"G"`
	Fault       any                        `json:"fault"`
	BrokenRules map[string]json.RawMessage `json:"breaks"` // rules broken
	Parts       []figure                   `json:"parts"`  // name, weight, what was reached of 1
	Prices      []figure                   `json:"prices"` // name, amount, what it took off the worth
}

// Results are a way's, by what they are compared by.
type Results map[Pair]*Result

// figure is a name with two numbers, told as a list.
type figure struct {
	name          string
	first, second float64
}

// UnmarshalJSON reads a list of a name and two numbers.
func (f *figure) UnmarshalJSON(data []byte) error {
	row := []any{&f.name, &f.first, &f.second}
	return json.Unmarshal(data, &row)
}

// bench plays days in the folders of ways and keeps their reports.
type bench struct {
	command []string // of the bench, with arguments that go before its own
	args    []string // further ones of each play
	results string   // folder of the reports
	journal string   // to which the entries that the bench writes are copied
}

var errNoBench = errors.New("no bench: name its command with -bench or in QUINCE_BENCH; nothing was played")

// newBench finds the bench's command.
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

// report is the file of a play's report. It holds the digest of the sources: a
// changed way is played anew.
func (b *bench) report(p Run, c *checkout) string {
	return filepath.Join(b.results, fmt.Sprintf("%s-%s-%s.json", p.Pair, strings.ReplaceAll(p.Variant.Name, " ", "_"), c.digest))
}

// readResult reads a report.
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

// play plays a day, unless its report is there from an earlier call.
func (b *bench) play(p Run, c *checkout) (*Result, error) {
	report := b.report(p, c)
	if r, err := readResult(report); err == nil {
		return r, nil
	}
	half := report + ".half" // a stopped play leaves no report that looks whole
	args := append(append([]string{}, b.command[1:]...), "run", p.site, p.day, "--jobs", "1", "--report", half, "--why", "compare: "+p.Variant.Name)
	if p.Seed != 0 {
		args = append(args, "--seed", strconv.FormatUint(p.Seed, 10))
	}
	_, failed := run(c.dir, b.command[0], append(args, b.args...)...)
	if err := b.keepJournal(c); err != nil {
		return nil, err
	}
	r, err := readResult(half)
	if err != nil { // a day that breaks a rule may end the bench with an error, and has a report
		return nil, errors.Join(failed, err)
	}
	return r, os.Rename(half, report)
}

// keepJournal copies the entries that the bench wrote beside a way's sources.
func (b *bench) keepJournal(c *checkout) error {
	if b.journal == "" {
		return nil
	}
	entries, err := filepath.Glob(filepath.Join(c.dir, "journal", "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(b.journal, filepath.Base(from))
		data, err := os.ReadFile(from)
		if err != nil {
			return err
		}
		if kept, err := os.ReadFile(to); err == nil && bytes.Equal(kept, data) {
			continue // one that differs is of a play that had not ended yet
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// all plays all days, so many at once, and returns the results by way and pair.
// A play that fails is told and left out; the next call tries it again.
func (b *bench) all(plays []Run, ways map[string]*checkout, jobs int, tell func(Run, *Result, error)) map[string]Results {
	var mu sync.Mutex
	out := make(map[string]Results)
	for name := range ways {
		out[name] = make(Results)
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, jobs)
	for _, p := range plays {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r, err := b.play(p, ways[p.Variant.Name])
			mu.Lock()
			defer mu.Unlock()
			tell(p, r, err)
			if err == nil {
				out[p.Variant.Name][p.Pair] = r
			}
		})
	}
	wait.Wait()
	return out
}
