package main

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

const entry = `{"days": [
 {"name": "a", "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.4, 0.5]],
  "prices": [["worth refused again", 12.5, 0.01], ["machine-seconds", 400, 0.02], ["probes", 3, 0.001]]},
 {"name": "drawn", "parts": [], "prices": []}]}`

func TestLossesOfADay(t *testing.T) {
	is := is.New(t)
	var e struct{ Days []day }
	is.NoErr(json.Unmarshal([]byte(entry), &e))
	got := e.Days[0].losses()
	for cause, want := range map[string]float64{"whole day": 0.06, "worst windows": 0.2, "worth refused again": 0.01, otherPrices: 0.021} {
		is.True(math.Abs(got[cause]-want) < 1e-9)
	}
}

func TestPlotShowsDaysOfAllEntries(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "1-one.json"), []byte(entry), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "2-two.json"), []byte(`{"days": [{"name": "a", "parts": [], "prices": []}]}`), 0o600))
	out := filepath.Join(dir, "losses.svg")
	is.NoErr(run(out, dir, []string{"one", "two"}))
	info, err := os.Stat(out)
	is.NoErr(err)
	is.True(info.Size() > 0)
	is.True(run(out, dir, []string{"three"}) != nil)
	is.True(run(out, dir, nil) != nil)
}
