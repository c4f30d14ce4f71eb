// Command lossplot plots by cause how much worth the days of a site lost, from
// entries of the journal. A day is a scenario of load and faults; its worth is
// the score that the users' bench gave the run, at most 1. The command draws
// one bar per entry for each day that all entries have.
//
//	go run ./proctest/lossplot -o docs/design/losses.svg ENTRY...
//
// ENTRY is the id of a score in journal/; the oldest is given first.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// day is the result of one day in a journal entry.
type day struct {
	Name   string      `json:"name"`
	Parts  []component `json:"parts"`  // name, weight, score reached, from 0 to 1
	Prices []component `json:"prices"` // name, amount, worth deducted
}

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

// separatePrices are the prices with a bar segment of their own: the largest ones of
// the first score of the further site. The others are summed.
var separatePrices = []string{"seconds of stage work thrown away", "1,000 tokens of shared parts read again", "worth refused again"}

const otherPrices = "other prices"

// losses returns the worth that a day lost, by cause; the maximum worth is 1.
func (d *day) losses() map[string]float64 {
	out := make(map[string]float64)
	for _, p := range d.Parts {
		out[p.name] += p.amount * (1 - p.value)
	}
	for _, p := range d.Prices {
		name := otherPrices
		for _, shown := range separatePrices {
			if shown == p.name {
				name = shown
			}
		}
		out[name] += p.value
	}
	return out
}

func main() {
	out := flag.String("o", "losses.svg", "file of the plot; .svg or .png")
	journal := flag.String("journal", "journal", "the journal's folder")
	flag.Parse()
	if err := run(*out, *journal, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "lossplot:", err)
		os.Exit(1)
	}
}

func run(out, journal string, ids []string) error {
	if len(ids) == 0 {
		return errors.New("the command line names no journal entry")
	}
	entries := make([][]day, 0, len(ids))
	for _, id := range ids {
		entry, err := readDays(journal, id)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	var days []day
	var names []string
	for _, first := range entries[0] {
		same := daysNamed(entries, first.Name)
		if len(same) < len(ids) {
			continue // not all entries have this day
		}
		days = append(days, same...)
		for _, id := range ids {
			names = append(names, first.Name+"\n"+id)
		}
	}
	p, err := draw(days, names)
	if err != nil {
		return err
	}
	const height, left, each = 10, 6, 2 // centimetres
	return p.Save(vg.Length(left+each*len(days))*vg.Centimeter, height*vg.Centimeter, out)
}

// daysNamed returns the days with a name, one for each entry that has it.
func daysNamed(entries [][]day, name string) []day {
	var out []day
	for _, entry := range entries {
		for _, d := range entry {
			if d.Name == name {
				out = append(out, d)
			}
		}
	}
	return out
}

// readDays returns the days of a journal entry.
func readDays(journal, id string) ([]day, error) {
	files, err := filepath.Glob(filepath.Join(journal, "*-"+id+".json"))
	if err != nil || len(files) != 1 {
		return nil, fmt.Errorf("%s has %d entries named %s", journal, len(files), id)
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		return nil, err
	}
	var entry struct {
		Days []day `json:"days"`
	}
	if err := json.Unmarshal(data, &entry); err != nil {
		return nil, fmt.Errorf("%s: %w", files[0], err)
	}
	return entry.Days, nil
}

// draw returns a bar chart with the losses of each day stacked by cause.
func draw(days []day, names []string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Worth lost of 1, by cause"
	p.Y.Label.Text = "worth"
	p.Legend.Top = true
	const roomForLegend = 0.75 // y axis limit in worth, above the bars
	p.Y.Max = roomForLegend
	causes := append([]string{"whole day", "worst windows", "worst class"}, separatePrices...)
	var below *plotter.BarChart
	for i, cause := range append(causes, otherPrices) {
		values := make(plotter.Values, len(days))
		for n := range days {
			values[n] = days[n].losses()[cause]
		}
		bars, err := plotter.NewBarChart(values, vg.Centimeter)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	p.NominalX(names...)
	return p, nil
}
