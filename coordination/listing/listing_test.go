package listing

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quinceroad/state/catalog"
)

var kinds = map[string]Kind{"pool": Pools, "archive": Pools, "llm": Engines, "web": Plain}

func kindOf(service string) Kind { return kinds[service] }

const perCell = 4

// serviceOf returns the usual service of a replica.
func serviceOf(n int) string { return []string{"pool", "archive", "llm", "web"}[n%4] }

func replicaOf(n, incarnation int, draining, hallDrained bool) *catalog.Replica {
	name := fmt.Sprint("r", n)
	return &catalog.Replica{
		ID: catalog.IncarnationID(name, int64(incarnation)), Name: name, StartMillis: int64(incarnation), Service: serviceOf(n),
		Address: fmt.Sprint("10.0.0.", (n+incarnation)%50), Region: []string{"n", "s"}[n/4%2], Draining: draining, HallDrained: hallDrained,
	}
}

// Whatever changes come, in whatever batches, the list equals the one that is built from
// scratch of what is listed. Instances that have seen different changes thus agree on the
// cells.
func TestListDependsOnWhatIsListedAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New(kindOf, perCell, true)
		undivided := New(kindOf, perCell, false)
		listed := make(map[string]*catalog.Replica) // by name
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			var batch []Change
			for range rapid.IntRange(1, 30).Draw(t, "changes") {
				n := rapid.IntRange(0, 99).Draw(t, "replica")
				old := listed[fmt.Sprint("r", n)]
				if old != nil && rapid.Bool().Draw(t, "removed") {
					batch = append(batch, Change{Incarnation: old.ID})
					delete(listed, old.Name)
					continue
				}
				r := replicaOf(n, rapid.IntRange(0, 2).Draw(t, "incarnation"), rapid.Bool().Draw(t, "ends"), rapid.Bool().Draw(t, "hall drained"))
				if rapid.IntRange(0, 9).Draw(t, "moves") == 0 { // another hall or service under the same incarnation
					r.Region, r.Service = "s", "llm"
				}
				if old != nil && old.ID != r.ID {
					batch = append(batch, Change{Incarnation: old.ID})
				}
				batch = append(batch, Change{Incarnation: r.ID, Replica: r})
				listed[r.Name] = r
			}
			before := x.List()
			wasBefore := describe(before)
			got := describe(x.Apply(batch))
			if now := describe(before); now != wasBefore {
				t.Fatalf("the earlier version has changed from\n%s to\n%s", wasBefore, now)
			}
			if counts := undivided.Apply(batch); counts.CellCount("n") != x.List().CellCount("n") || counts.CellCount("s") != x.List().CellCount("s") {
				t.Fatalf("%d and %d cells without a division", counts.CellCount("n"), counts.CellCount("s"))
			}
			if want := describe(fromScratch(listed)); got != want {
				t.Fatalf("listed\n%s, not\n%s", got, want)
			}
		}
	})
}

func fromScratch(listed map[string]*catalog.Replica) *List {
	var all []Change
	for _, r := range listed {
		all = append(all, Change{Incarnation: r.ID, Replica: r})
	}
	return New(kindOf, perCell, true).Apply(all)
}

// describe returns everything that a list can be asked for.
func describe(l *List) string {
	out := fmt.Sprintln(l.Len(), l.NamedLen())
	for _, e := range slices.SortedFunc(l.All(), func(a, b *Entry) int { return compareReplicas(a.Replica, b.Replica) }) {
		region, cell, ok := l.CellOf(e.ID)
		named, _ := l.Incarnation(e.Name)
		out += fmt.Sprintln(*e, region, cell, ok, named)
	}
	for _, service := range slices.Sorted(maps.Keys(kinds)) {
		listed, present, eligible := l.Count(service)
		out += fmt.Sprintln(service, listed, present, eligible, l.EligibleIn("n", service), l.EligibleIn("s", service))
		for _, r := range l.Eligible(service) {
			out += r.ID + " "
		}
	}
	for _, region := range []string{"n", "s"} {
		out += fmt.Sprintln(region, l.CellCount(region), l.HasPooled(region))
		for cell := range l.CellCount(region) {
			for _, r := range l.Cell(region, cell).Replicas() {
				out += r.ID + " "
			}
		}
	}
	return out
}

// A change of one replica leaves the lists of all cells that it does not touch as they
// were, so that their owners have nothing to do.
func TestUntouchedCellsAreShared(t *testing.T) {
	const replicas = 4000
	x := New(kindOf, 30, true)
	var all []Change
	for n := range replicas {
		r := replicaOf(n, 1, false, false)
		all = append(all, Change{Incarnation: r.ID, Replica: r})
	}
	before := x.Apply(all)
	after := x.Apply([]Change{{Incarnation: replicaOf(0, 1, false, false).ID, Replica: replicaOf(0, 1, true, false)}})
	changed := 0
	for cell := range before.CellCount("n") {
		if !before.Cell("n", cell).Equal(after.Cell("n", cell)) {
			changed++
		}
	}
	if changed != 1 || before.CellCount("n") < 10 {
		t.Errorf("%d of %d cells have changed with one replica", changed, before.CellCount("n"))
	}
}

// The work of a change, counted in allocated bytes, grows with the replicas that change and
// not with the list: with 16 times the replicas it grows by less than three.
func TestWorkOfAChangeDoesNotGrowWithTheList(t *testing.T) {
	var bytes []uint64
	for _, replicas := range []int{600, 9600} {
		x := New(kindOf, 30, true)
		var all []Change
		for n := range replicas {
			r := replicaOf(n, 1, false, false)
			all = append(all, Change{Incarnation: r.ID, Replica: r})
		}
		x.Apply(all)
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				r := replicaOf(i%replicas, 1, i%2 == 0, false)
				r.Slots = i
				x.Apply([]Change{{Incarnation: r.ID, Replica: r}})
			}
		})
		bytes = append(bytes, uint64(result.AllocedBytesPerOp()))
	}
	if bytes[1] > 3*bytes[0] {
		t.Errorf("a change allocates %d bytes of 600 replicas, %d of 9,600", bytes[0], bytes[1])
	}
}
