package origin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
)

func everyone(*gossip.Instance) bool { return true }

// fleet returns live instances, divided among halls and sorted by name.
func fleet(instances, halls int) []gossip.Instance {
	var out []gossip.Instance
	for i := range instances {
		out = append(out, gossip.Instance{Name: fmt.Sprintf("n%04d", i), Hall: fmt.Sprint("h", i%halls)})
	}
	return out
}

func TestBindingAllowsItsBuildOnly(t *testing.T) {
	is := is.New(t)
	is.True(Binding{}.Allows("v1"))
	is.True(!Binding{}.IsBound())
	is.True(To("v1").Allows("v1"))
	is.True(!To("v1").Allows("v1.1"))
	is.True(To("").Allows("") && !To("").Allows("v1")) // replicas that report no version
}

// Records are bounded in time and number; the oldest go first, and one that is put again
// stays.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.True(table.Put(0, Record{1, "llm", "v1"}))
	for i := range 3 * MaxRecords {
		table.Put(time.Second, Record{Key(100 + i), "llm", "v2"})
		if i == MaxRecords/2 {
			table.Put(time.Second, Record{1, "llm", "v1"})
		}
	}
	is.True(table.Len() <= MaxRecords)
	is.True(len(table.order) <= MaxRecords)
	_, ok := table.Get(time.Second, Key(100))
	is.True(!ok)
	newest, ok := table.Get(time.Second, Key(100+3*MaxRecords-1))
	is.True(ok)
	is.Equal(newest, Record{Key(100 + 3*MaxRecords - 1), "llm", "v2"})
	table.Expire(time.Second + RecordTTL)
	is.Equal(table.Len(), 0)
}

func TestRecordPutAgainIsKept(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Put(0, Record{1, "llm", "v1"})
	table.Put(time.Minute, Record{1, "llm", "v1"})
	table.Expire(RecordTTL)
	_, ok := table.Get(RecordTTL, 1)
	is.True(ok)
}

// An ID that a client used for streams of two builds tells nothing.
func TestIDsUsedTwiceAreAmbiguous(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Put(0, Record{1, "llm", "v1"})
	table.Put(0, Record{1, "llm", "v2"})
	table.Put(0, Record{1, "llm", "v2"})
	_, ok := table.Get(0, 1)
	is.True(!ok)
	is.True(KeyOf("a", "bc") != KeyOf("ab", "c"))
	is.True(!table.Put(0, Record{2, "llm", string(make([]byte, MaxNameLength+1))}))
}

// The number of instances that hold or are asked for a record, and the points visited for
// it, don't grow with the fleet.
func TestHoldersDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{1, 2, 6, 100, 2000} {
		live := gossip.NewLive(fleet(instances, 9))
		for range 100 {
			holders := Holders(live, "", Key(rand.Uint64()), "", everyone)
			is.Equal(len(holders), min(instances, Asked))
			if instances > 1 {
				is.True(holders[0].Hall != holders[1].Hall)
			}
		}
	}
	is.Equal(len(Holders(gossip.NewLive(nil), "", 1, "", everyone)), 0)
}

// ORDER, LOST: of the streams that are taken up again, the build is known for at least nine
// in ten after the loss of one instance or a hall, and for half after 60 in 100 are killed, as
// seen by instances that differ on who is alive.
func TestRecordsOutliveLosses(t *testing.T) {
	cases := []struct {
		name      string
		lost      func(random *rand.Rand, i int, x gossip.Instance) bool
		remaining float64
	}{
		{"one", func(_ *rand.Rand, i int, _ gossip.Instance) bool { return i == 3 }, 0.9},
		{"a hall", func(_ *rand.Rand, _ int, x gossip.Instance) bool { return x.Hall == "h1" }, 0.9},
		{"60 in 100", func(random *rand.Rand, _ int, _ gossip.Instance) bool { return random.Float64() < 0.6 }, 0.5},
	}
	for _, instances := range []int{6, 100, 295} {
		for _, c := range cases {
			for seed := range uint64(5) {
				known, lost := takenUpAfterLoss(instances, seed, c.lost)
				if float64(known) < c.remaining*float64(known+lost) {
					t.Errorf("%d instances, %s, seed %d: the build of %d streams is known, of %d it is not", instances, c.name, seed, known, lost)
				}
			}
		}
	}
}

// takenUpAfterLoss records streams that are served by all instances, removes some instances,
// and asks for the records from the others. An asking instance may not have noticed a loss.
func takenUpAfterLoss(instances int, seed uint64, isLost func(*rand.Rand, int, gossip.Instance) bool) (known, lost int) {
	const streams = 1000
	random := rand.New(rand.NewPCG(seed, 1))
	all := fleet(instances, 4)
	before := gossip.NewLive(all)
	tables := make(map[string]*Table)
	for _, x := range all {
		tables[x.Name] = NewTable()
	}
	for k := range Key(streams) {
		key := Key(KeyOf("c", fmt.Sprint(seed, k)))
		server := all[random.IntN(len(all))].Name
		tables[server].Put(0, Record{key, "llm", "v1"})
		copies := 0
		for _, h := range Holders(before, "", key, "", everyone) {
			if h.Name != server && copies < Copies {
				copies++
				tables[h.Name].Put(0, Record{key, "llm", "v1"})
			}
		}
	}
	var survivors []gossip.Instance
	for i, x := range all {
		if isLost(random, i, x) {
			delete(tables, x.Name)
			continue
		}
		survivors = append(survivors, x)
	}
	if len(survivors) == 0 {
		return 0, 0
	}
	after := gossip.NewLive(survivors)
	for k := range Key(streams) {
		key := Key(KeyOf("c", fmt.Sprint(seed, k)))
		view := after
		if len(survivors) > instances/2 && random.IntN(2) == 0 { // not noticed yet
			view = before
		}
		asked := Holders(view, "", key, "", everyone)
		asked = append(asked, &survivors[random.IntN(len(survivors))])
		if slices.ContainsFunc(asked, func(x *gossip.Instance) bool {
			table := tables[x.Name]
			if table == nil {
				return false
			}
			_, ok := table.Get(0, key)
			return ok
		}) {
			known++
		} else {
			lost++
		}
	}
	return known, lost
}

func BenchmarkHolders(b *testing.B) {
	for _, instances := range []int{100, 2000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			live := gossip.NewLive(fleet(instances, 9))
			b.ReportAllocs()
			for i := range b.N {
				Holders(live, "", Key(uint64(i)*0x9e3779b97f4a7c15), "", everyone)
			}
		})
	}
}
