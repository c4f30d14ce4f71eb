package cells

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func ids(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("i-%08x", uint32(i)*2654435761))
	}
	return out
}

// Cell sizes differ by at most one, and the assignment doesn't depend on the
// order of the list.
func TestCellsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := ids(rapid.IntRange(0, 200).Draw(t, "replicas"))
		n := rapid.IntRange(1, 20).Draw(t, "cells")
		assigned := Assign(list, n)
		count := make([]int, n)
		for _, c := range assigned {
			count[c]++
		}
		if len(assigned) != len(list) || slices.Max(count)-slices.Min(count) > 1 {
			t.Fatalf("%d replicas assigned, cell sizes %v", len(assigned), count)
		}
		other := Assign(rapid.Permutation(list).Draw(t, "order"), n)
		for id, c := range assigned {
			if other[id] != c {
				t.Fatalf("%s is in cell %d, with the list permuted in cell %d", id, c, other[id])
			}
		}
	})
}

// Removing a replica moves few others. Assignment by position in the list moved
// four in five of those behind it.
func TestRemovedReplicaMovesFewOthers(t *testing.T) {
	for _, size := range []int{15, 19, 90, 140} {
		list := ids(size)
		const n = 5
		before := Assign(list, n)
		moved := 0
		for removed := range list {
			after := Assign(slices.Delete(slices.Clone(list), removed, removed+1), n)
			for id, c := range after {
				if c != before[id] {
					moved++
				}
			}
		}
		if mean := float64(moved) / float64(size); mean > 2 {
			t.Errorf("removing one of %d replicas moves %.1f others", size, mean)
		}
	}
}
