// Command lossplot draws where the worth of a site's days went, by what it was
// lost for, from entries of the journal: one bar for
// each entry, of those days that all entries have.
//
//	go run ./proctest/lossplot -o docs/design/losses.svg ENTRY...
//
// ENTRY is the id of a score in journal/, the oldest first.
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

// day is one played day of a journal's entry.
type day struct {
	Name   string  `json:"name"`
	Parts  []share `json:"parts"`  // name, weight, what was reached of 1
	Prices []share `json:"prices"` // name, amount, what it took off the worth
}

// share is a name with two figures, told as a list.
type share struct {
	name          string
	first, second float64
}

// UnmarshalJSON reads a list of a name and two figures.
func (s *share) UnmarshalJSON(data []byte) error {
	row := []any{&s.name, &s.first, &s.second}
	return json.Unmarshal(data, &row)
}

// shownPrices are the prices that are drawn apart: the largest of the first
// score of the further site. The others are summed.
var shownPrices = []string{"seconds of stage work thrown away", "1,000 tokens of shared parts read again", "worth refused again"}

const otherPrices = "other prices"

// losses returns what a day lost, by cause, of a worth of 1.
func (d *day) losses() map[string]float64 {
	out := make(map[string]float64)
	for _, p := range d.Parts {
		out[p.name] += p.first * (1 - p.second)
	}
	for _, p := range d.Prices {
		name := otherPrices
		for _, shown := range shownPrices {
			if shown == p.name {
				name = shown
			}
		}
		out[name] += p.second
	}
	return out
}

func main() {
	out := flag.String("o", "losses.svg", "the picture to write; .svg or .png")
	journal := flag.String("journal", "journal", "the journal's folder")
	flag.Parse()
	if err := run(*out, *journal, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "lossplot:", err)
		os.Exit(1)
	}
}

func run(out, journal string, ids []string) error {
	if len(ids) == 0 {
		return errors.New("no entry of the journal is named")
	}
	entries := make([][]day, 0, len(ids))
	for _, id := range ids {
		entry, err := read(journal, id)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	var days []day
	var names []string
	for _, first := range entries[0] {
		same := sameDay(entries, first.Name)
		if len(same) < len(ids) {
			continue // a day drawn for one entry
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

// sameDay returns the day of a name in each entry that has it.
func sameDay(entries [][]day, name string) []day {
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

// read returns the days of a journal's entry.
func read(journal, id string) ([]day, error) {
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

// draw stacks each day's losses by cause.
func draw(days []day, names []string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Worth lost of 1, by cause"
	p.Y.Label.Text = "worth"
	p.Legend.Top = true
	const roomForLegend = 0.75 // of worth, above the bars
	p.Y.Max = roomForLegend
	causes := append([]string{"whole day", "worst windows", "worst class"}, shownPrices...)
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
