// Package cover plans days in which each two troubles of a list are played beside each other, and
// shrinks a day to what breaks it. It does no I/O.
package cover

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Trouble is an entry of a day without its time: the names and values of its fields.
type Trouble map[string]any

// Entry is a trouble at a time.
type Entry struct {
	At      float64 // seconds from the start of traffic
	Trouble Trouble
}

// Pair names two troubles by their indexes in the list, the smaller one first.
type Pair struct{ A, B int }

// Day is a day of pairs.
type Day struct {
	Name    string
	Pairs   []Pair
	Entries []Entry
}

const (
	firstAt     = 2.0 // seconds until the first pair begins
	pairSpacing = 8.0 // seconds between the beginnings of two pairs
	withinPair  = 1.0 // seconds between those of a pair's troubles
	pairsPerDay = 10
	afterLast   = 20.0 // seconds that a day goes on after its last pair, for recovery
)

// Length returns the length of a day in seconds.
func (d *Day) Length() float64 {
	return firstAt + float64(len(d.Pairs))*pairSpacing + afterLast
}

// Plan returns days in which each two of count troubles are a pair once. The order of the pairs
// and of the troubles in each is drawn.
func Plan(troubles []Trouble, seed uint64) []Day {
	random := rand.New(rand.NewPCG(seed, uint64(len(troubles))))
	var pairs []Pair
	for a := range troubles {
		for b := a + 1; b < len(troubles); b++ {
			pairs = append(pairs, Pair{A: a, B: b})
		}
	}
	random.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	var days []Day
	for chunk := range slices.Chunk(pairs, pairsPerDay) {
		d := Day{Name: fmt.Sprintf("pairs-%03d", len(days)), Pairs: chunk}
		for i, p := range chunk {
			first, second := p.A, p.B
			if random.IntN(2) == 0 {
				first, second = second, first
			}
			at := firstAt + float64(i)*pairSpacing
			d.Entries = append(d.Entries, Entry{At: at, Trouble: troubles[first]}, Entry{At: at + withinPair, Trouble: troubles[second]})
		}
		days = append(days, d)
	}
	return days
}

// Sample returns a share of the days, at least one, drawn by a seed.
func Sample(days []Day, share float64, seed uint64) []Day {
	count := max(1, int(share*float64(len(days))))
	if count >= len(days) {
		return days
	}
	random := rand.New(rand.NewPCG(seed, seed))
	picked := random.Perm(len(days))[:count]
	slices.Sort(picked)
	out := make([]Day, 0, count)
	for _, i := range picked {
		out = append(out, days[i])
	}
	return out
}

// Shrink returns the fewest entries that it finds to break the same day, by ddmin: it drops
// parts of them while breaks says that the rest still does. It asks at most the given times.
func Shrink(entries []Entry, asks int, breaks func([]Entry) bool) []Entry {
	parts := 2
	for len(entries) > 1 && asks > 0 {
		smaller, ok := dropOnePart(entries, parts, &asks, breaks)
		switch {
		case ok:
			entries = smaller
			parts = max(parts-1, 2)
		case parts >= len(entries):
			return entries
		default:
			parts = min(2*parts, len(entries))
		}
	}
	return entries
}

// dropOnePart returns the entries without the first part that isn't needed to break the day.
func dropOnePart(entries []Entry, parts int, asks *int, breaks func([]Entry) bool) ([]Entry, bool) {
	size := (len(entries) + parts - 1) / parts
	for from := 0; from < len(entries) && *asks > 0; from += size {
		rest := slices.Concat(entries[:from], entries[min(from+size, len(entries)):])
		if len(rest) == 0 {
			continue
		}
		*asks--
		if breaks(rest) {
			return rest, true
		}
	}
	return nil, false
}
