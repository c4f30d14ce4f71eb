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

// Cells are as even as can be, whatever the list, and the same whatever its order.
func TestCellsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := ids(rapid.IntRange(0, 200).Draw(t, "replicas"))
		n := rapid.IntRange(1, 20).Draw(t, "cells")
		parts := Assign(list, n)
		count := make([]int, n)
		for _, c := range parts {
			count[c]++
		}
		if len(parts) != len(list) || slices.Max(count)-slices.Min(count) > 1 {
			t.Fatalf("%d replicas in cells of %v", len(parts), count)
		}
		other := Assign(rapid.Permutation(list).Draw(t, "order"), n)
		for id, c := range parts {
			if other[id] != c {
				t.Fatalf("%s is in cell %d and in %d", id, c, other[id])
			}
		}
	})
}

// One replica that goes moves few others: an even part by place in the list
// moved four in five of those behind it.
func TestOneThatGoesMovesFew(t *testing.T) {
	for _, size := range []int{15, 19, 90, 140} {
		list := ids(size)
		const n = 5
		before := Assign(list, n)
		moved := 0
		for gone := range list {
			after := Assign(slices.Delete(slices.Clone(list), gone, gone+1), n)
			for id, c := range after {
				if c != before[id] {
					moved++
				}
			}
		}
		if mean := float64(moved) / float64(size); mean > 2 {
			t.Errorf("of %d replicas one that goes moves %.1f", size, mean)
		}
	}
}
