// Package settings reads and strictly checks TOML files. All findings in a file
// are collected with their lines and reported together.
package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error in a file.
type Finding struct {
	File string `json:"file"`
	Line int    `json:"line"` // 0 when the key is absent
	Key  string `json:"key"`
	Text string `json:"text"`
}

// String returns "file:line: key: text".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// Findings holds all errors in a file; it is an error if it is not empty.
type Findings []Finding

// Error returns one finding per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings sorted by line, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}

// closestName returns the name closest to word, or "" if none has a Levenshtein
// distance below 3.
func closestName(word string, names []string) string {
	best, least := "", 3
	for _, n := range names {
		if d := levenshtein(word, n); d < least {
			best, least = n, d
		}
	}
	return best
}

// levenshtein returns the Levenshtein distance of a and b.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diag := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diag
			if a[i-1] != b[j-1] {
				cost++
			}
			diag = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
