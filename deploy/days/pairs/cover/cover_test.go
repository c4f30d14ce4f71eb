package cover

import (
	"testing"

	"github.com/matryer/is"
)

func listOf(count int) []Trouble {
	var out []Trouble
	for i := range count {
		out = append(out, Trouble{"kind": i})
	}
	return out
}

// Each two troubles are a pair once, next to each other in time, whatever the seed.
func TestEachPairIsPlayedOnce(t *testing.T) {
	for _, count := range []int{0, 1, 2, 5, 41} {
		for seed := range uint64(5) {
			is := is.New(t)
			seen := make(map[Pair]bool)
			for _, d := range Plan(listOf(count), seed) {
				is.Equal(len(d.Entries), 2*len(d.Pairs))
				is.True(len(d.Pairs) <= pairsPerDay)
				for i, p := range d.Pairs {
					is.True(p.A < p.B && !seen[p])
					seen[p] = true
					first, second := d.Entries[2*i], d.Entries[2*i+1]
					is.Equal(second.At-first.At, withinPair)
					is.True(second.At < d.Length()-afterLast+pairSpacing)
					a, b := first.Trouble["kind"].(int), second.Trouble["kind"].(int)
					is.Equal(p, Pair{A: min(a, b), B: max(a, b)})
				}
			}
			is.Equal(len(seen), count*(count-1)/2)
		}
	}
}

// One seed gives the same days, another one another order.
func TestPlanIsSeeded(t *testing.T) {
	is := is.New(t)
	is.Equal(Plan(listOf(9), 1), Plan(listOf(9), 1))
	is.True(Plan(listOf(9), 1)[0].Pairs[0] != Plan(listOf(9), 2)[0].Pairs[0] || Plan(listOf(9), 1)[0].Pairs[1] != Plan(listOf(9), 2)[0].Pairs[1])
	days := Plan(listOf(30), 1)
	is.Equal(len(Sample(days, 0.1, 1)), len(days)/10)
	is.Equal(len(Sample(days, 0, 1)), 1)
	is.Equal(len(Sample(days, 5, 1)), len(days))
}

// A day that needs two entries, however far apart, is shrunk to these two; one that breaks by
// chance is not asked about for ever.
func TestShrinkFindsWhatBreaks(t *testing.T) {
	is := is.New(t)
	var entries []Entry
	for i := range 20 {
		entries = append(entries, Entry{At: float64(i)})
	}
	needs := func(a, b float64) func([]Entry) bool {
		return func(rest []Entry) bool {
			found := 0
			for _, e := range rest {
				if e.At == a || e.At == b {
					found++
				}
			}
			return found == 2
		}
	}
	for a := range 19 {
		got := Shrink(entries, 1000, needs(float64(a), 19))
		is.Equal(got, []Entry{{At: float64(a)}, {At: 19}})
	}
	asked := 0
	Shrink(entries, 7, func([]Entry) bool { asked++; return false })
	is.Equal(asked, 7)
	is.Equal(len(Shrink(nil, 7, nil)), 0)
}
