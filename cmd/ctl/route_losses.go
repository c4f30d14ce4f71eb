package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// deciles is the number of groups by size. Deployments report on the largest tenth of a
// route's requests and on the fifth below it.
const deciles = 10

// attempt is the size and outcome of an attempt.
type attempt struct {
	tokens int    // of the prompt; 0 without one
	cause  string // "" if it was served in time
}

// routeLosses has the attempts of a route.
type routeLosses struct {
	name     string
	rank     int // 0 is the most urgent
	attempts []attempt
}

func (a *lossAggregate) addRouteAttempt(l *logLine, cause string) {
	name := l.field("route")
	r := a.routes[name]
	if r == nil {
		r = &routeLosses{name: name, rank: l.number("rank")}
		a.routes[name] = r
	}
	r.attempts = append(r.attempts, attempt{tokens: l.number("tokens"), cause: cause})
}

// routesByRank returns the routes in order of rank, the most urgent first.
func (a *lossAggregate) routesByRank() []*routeLosses {
	return slices.SortedFunc(maps.Values(a.routes), func(x, y *routeLosses) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.name, y.name))
	})
}

// printRanks prints losses by rank.
func (a *lossAggregate) printRanks(out io.Writer) {
	attempts := make(map[int]int)
	lost := make(map[int]map[string]int)
	for _, r := range a.routesByRank() {
		if lost[r.rank] == nil {
			lost[r.rank] = make(map[string]int)
		}
		attempts[r.rank] += len(r.attempts)
		for cause, n := range countCauses(r.attempts) {
			lost[r.rank][cause] += n
		}
	}
	fmt.Fprintf(out, "\n%-6s %6s %6s  %s\n", "rank", "asked", "lost", "causes")
	for _, rank := range slices.Sorted(maps.Keys(attempts)) {
		fmt.Fprintf(out, "%-6d %6d %6d  %s\n", rank, attempts[rank], total(lost[rank]), formatCounts(lost[rank]))
	}
}

// printSizes prints the losses of each route by decile of prompt tokens, the smallest
// first, and the causes in the largest decile. Routes without prompts are left out.
func (a *lossAggregate) printSizes(out io.Writer) {
	fmt.Fprintf(out, "\n%-20s %4s %6s %6s  %s\n", "route", "rank", "asked", "lost", "lost of asked by tenth of tokens, the smallest first; causes in the largest")
	for _, r := range a.routesByRank() {
		groups := splitBySize(r.attempts)
		if !slices.ContainsFunc(r.attempts, func(x attempt) bool { return x.tokens > 0 }) {
			continue
		}
		cells := make([]string, 0, deciles)
		for _, g := range groups {
			cells = append(cells, fmt.Sprintf("%d/%d", total(countCauses(g)), len(g)))
		}
		fmt.Fprintf(out, "%-20s %4d %6d %6d  %s  %s\n", r.name, r.rank, len(r.attempts), total(countCauses(r.attempts)),
			strings.Join(cells, " "), formatCounts(countCauses(groups[deciles-1])))
	}
}

// splitBySize sorts attempts by size and splits them into deciles.
func splitBySize(attempts []attempt) [][]attempt {
	sorted := slices.SortedStableFunc(slices.Values(attempts), func(x, y attempt) int { return cmp.Compare(x.tokens, y.tokens) })
	groups := make([][]attempt, 0, deciles)
	for n := range deciles {
		groups = append(groups, sorted[len(sorted)*n/deciles:len(sorted)*(n+1)/deciles])
	}
	return groups
}

func countCauses(attempts []attempt) map[string]int {
	out := make(map[string]int)
	for _, x := range attempts {
		if x.cause != "" {
			out[x.cause]++
		}
	}
	return out
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
