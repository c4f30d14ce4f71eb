package cells

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"quinceroad/coordination/rendezvous"
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
		assigned := assignedTo(list, n)
		count := make([]int, n)
		for _, c := range assigned {
			count[c]++
		}
		if len(assigned) != len(list) || slices.Max(count)-slices.Min(count) > 1 {
			t.Fatalf("%d replicas assigned, cell sizes %v", len(assigned), count)
		}
		other := assignedTo(rapid.Permutation(list).Draw(t, "order"), n)
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
		before := assignedTo(list, n)
		moved := 0
		for removed := range list {
			after := assignedTo(slices.Delete(slices.Clone(list), removed, removed+1), n)
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

// Replicas come and go one at a time, and the assignment is always the one that a start
// with the same list computes. Otherwise instances that have seen different changes would
// disagree on the cells.
func TestAssignmentDependsOnTheListAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := rapid.IntRange(1, 8).Draw(t, "cells")
		pool := ids(60)
		a, listed := NewAssignment(nil, cells), make(map[string]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(pool).Draw(t, "replica")
			before := assigned(a, listed)
			a.TakeMoved()
			if listed[id] {
				a.Remove(id)
				delete(listed, id)
			} else {
				a.Add(id)
				listed[id] = true
			}
			want := assignFromScratch(slices.Collect(maps.Keys(listed)), cells)
			got := assigned(a, listed)
			if !maps.Equal(got, want) {
				t.Fatalf("assigned %v, not %v", got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "resized") == 0 {
				cells = rapid.IntRange(1, 40).Draw(t, "cells")
				a = a.Resized(cells)
				want, got = assignFromScratch(slices.Collect(maps.Keys(listed)), cells), assigned(a, listed)
				if !maps.Equal(got, want) {
					t.Fatalf("assigned %v to %d cells, not %v", got, cells, want)
				}
			}
			if anew := assignedTo(slices.Collect(maps.Keys(listed)), cells); !maps.Equal(anew, want) {
				t.Fatalf("assigned %v at once, not %v", anew, want)
			}
			moved := a.TakeMoved()
			for id, cell := range got {
				if was, ok := before[id]; (!ok || was != cell) && !moved[id] {
					t.Fatalf("%s has moved from %d to %d and is not returned as moved", id, was, cell)
				}
			}
		}
	})
}

func assigned(a *Assignment, listed map[string]bool) map[string]int {
	out := make(map[string]int)
	for id := range listed {
		cell, ok := a.Cell(id)
		if !ok {
			cell = noCell
		}
		out[id] = cell
	}
	return out
}

func assignedTo(list []string, cells int) map[string]int {
	listed := make(map[string]bool)
	for _, id := range list {
		listed[id] = true
	}
	return assigned(NewAssignment(list, cells), listed)
}

// assignFromScratch returns the cell of each replica: in the order of their hashes, each
// takes the first cell of its ranking that is not full.
func assignFromScratch(replicas []string, cells int) map[string]int {
	out := make(map[string]int, len(replicas))
	if cells <= 1 {
		for _, id := range replicas {
			out[id] = 0
		}
		return out
	}
	names := make([]string, cells)
	for c := range cells {
		names[c] = strconv.Itoa(c)
	}
	order := slices.Clone(replicas)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(orderKey, a), rendezvous.Weight(orderKey, b)), cmp.Compare(a, b))
	})
	free := capacities(len(replicas), cells)
	for _, id := range order {
		best, highest := -1, uint64(0)
		for c := range cells {
			if free[c] == 0 {
				continue
			}
			if w := rendezvous.Weight(id, names[c]); best < 0 || w > highest {
				best, highest = c, w
			}
		}
		free[best]--
		out[id] = best
	}
	return out
}

// capacities returns the number of replicas per cell, which differ by at most
// one.
func capacities(replicas, cells int) []int {
	out := make([]int, cells)
	for c := range cells {
		out[c] = replicas / cells
		if c < replicas%cells {
			out[c]++
		}
	}
	return out
}

// A replica that changes twice at once joins once: counted twice, it left a cell with room
// for one more than the others.
func TestRepeatedReplicaCountsOnce(t *testing.T) {
	got := assignedTo([]string{"r49@1", "r73@2", "r49@1"}, 2)
	if want := assignFromScratch([]string{"r49@1", "r73@2"}, 2); !maps.Equal(got, want) {
		t.Errorf("assigned %v, not %v", got, want)
	}
}
