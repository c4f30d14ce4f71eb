package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// tenths is the number of groups by size: what deployments count apart is the
// largest tenth of a route's requests, and the fifth beneath it.
const tenths = 10

// attempt is a request's size and fate.
type attempt struct {
	tokens int
	cause  string // "" when it was served in time
}

// routeAccount is what became of a route's requests.
type routeAccount struct {
	name     string
	rank     int // 0 first
	attempts []attempt
}

func (a *account) takeSize(l *logLine, cause string) {
	name := l.field("route")
	r := a.routes[name]
	if r == nil {
		r = &routeAccount{name: name, rank: l.number("rank")}
		a.routes[name] = r
	}
	r.attempts = append(r.attempts, attempt{tokens: l.number("tokens"), cause: cause})
}

// byRank returns the routes, the most urgent first.
func (a *account) byRank() []*routeAccount {
	return slices.SortedFunc(maps.Values(a.routes), func(x, y *routeAccount) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.name, y.name))
	})
}

// printRanks prints what was lost of each rank of routes.
func (a *account) printRanks(out io.Writer) {
	asked := make(map[int]int)
	lost := make(map[int]map[string]int)
	for _, r := range a.byRank() {
		if lost[r.rank] == nil {
			lost[r.rank] = make(map[string]int)
		}
		asked[r.rank] += len(r.attempts)
		for cause, n := range causesOf(r.attempts) {
			lost[r.rank][cause] += n
		}
	}
	fmt.Fprintf(out, "\n%-6s %6s %6s  %s\n", "rank", "asked", "lost", "causes")
	for _, rank := range slices.Sorted(maps.Keys(asked)) {
		fmt.Fprintf(out, "%-6d %6d %6d  %s\n", rank, asked[rank], sum(lost[rank]), counts(lost[rank]))
	}
}

// printSizes prints what was lost of each tenth of a route's requests by their
// tokens, the smallest first, and why of the largest. Routes without prompts
// have no sizes.
func (a *account) printSizes(out io.Writer) {
	fmt.Fprintf(out, "\n%-20s %4s %6s %6s  %s\n", "route", "rank", "asked", "lost", "lost of asked by tenth of tokens, the smallest first; causes in the largest")
	for _, r := range a.byRank() {
		groups := inTenths(r.attempts)
		if !slices.ContainsFunc(r.attempts, func(x attempt) bool { return x.tokens > 0 }) {
			continue
		}
		cells := make([]string, 0, tenths)
		for _, g := range groups {
			cells = append(cells, fmt.Sprintf("%d/%d", sum(causesOf(g)), len(g)))
		}
		fmt.Fprintf(out, "%-20s %4d %6d %6d  %s  %s\n", r.name, r.rank, len(r.attempts), sum(causesOf(r.attempts)),
			strings.Join(cells, " "), counts(causesOf(groups[tenths-1])))
	}
}

// inTenths parts attempts by size into groups of about the same number.
func inTenths(attempts []attempt) [][]attempt {
	sorted := slices.SortedStableFunc(slices.Values(attempts), func(x, y attempt) int { return cmp.Compare(x.tokens, y.tokens) })
	groups := make([][]attempt, 0, tenths)
	for n := range tenths {
		groups = append(groups, sorted[len(sorted)*n/tenths:len(sorted)*(n+1)/tenths])
	}
	return groups
}

func causesOf(attempts []attempt) map[string]int {
	out := make(map[string]int)
	for _, x := range attempts {
		if x.cause != "" {
			out[x.cause]++
		}
	}
	return out
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
