package changes

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quinceroad/coordination/history"
)

// pointAt returns a point in the history of a store that states no era.
func pointAt(revision uint64) history.Point { return history.Point{Revision: revision} }

func content(l *Log) map[string]string {
	out := make(map[string]string)
	for _, e := range l.UpdateSince(pointAt(0)).Entries {
		out[e.ID] = string(e.Value)
	}
	return out
}

// store is a model of the platform's store: a revision counter, values and their
// history, all of one era.
type store struct {
	era      uint64
	revision uint64
	values   map[string][]byte
	history  []Entry
}

func (s *store) change(id string, value []byte) {
	s.revision++
	e := Entry{ID: id, Value: value, Revision: s.revision, Deleted: value == nil}
	if e.Deleted {
		if _, ok := s.values[id]; !ok {
			return
		}
		delete(s.values, id)
	} else {
		s.values[id] = value
	}
	s.history = append(s.history, e)
}

func (s *store) at() history.Point { return history.Point{Era: s.era, Revision: s.revision} }

// comeBackFrom makes the store come back from a copy of its content at a revision.
func (s *store) comeBackFrom(revision uint64, values map[string][]byte) {
	s.era++
	s.revision, s.values = revision, maps.Clone(values)
	s.history = slices.DeleteFunc(s.history, func(e Entry) bool { return e.Revision > revision })
}

func (s *store) after(revision uint64) []Entry {
	var out []Entry
	for _, e := range s.history {
		if e.Revision > revision {
			out = append(out, e)
		}
	}
	return out
}

// Whatever instances read, watch and pull from each other in any order, each holds
// exactly what the store held at its point, and after a pull from a peer with a
// newer change it is no longer behind that peer.
func TestLogsMatchTheStore(t *testing.T) { checkLogs(t, false) }

// The same holds when the store comes back from copies, and reads of earlier eras arrive late.
func TestLogsMatchTheStoreThroughItsEras(t *testing.T) { checkLogs(t, true) }

func checkLogs(t *testing.T, storeReturns bool) {
	lastStep := 7
	if storeReturns {
		lastStep = 8
	}
	rapid.Check(t, func(t *rapid.T) {
		s := &store{values: make(map[string][]byte), revision: 1}
		past := map[history.Point]map[string][]byte{pointAt(1): {}}
		logs := make([]*Log, 4)
		for i := range logs {
			logs[i] = New(bytes.Equal)
		}
		steps := rapid.IntRange(1, 400).Draw(t, "steps")
		for range steps {
			l := logs[rapid.IntRange(0, len(logs)-1).Draw(t, "instance")]
			from := logs[rapid.IntRange(0, len(logs)-1).Draw(t, "from")]
			switch rapid.IntRange(0, lastStep).Draw(t, "step") {
			case 0, 1, 2, 3:
				id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
				value := []byte(fmt.Sprint(s.revision))
				if rapid.Bool().Draw(t, "deleted") {
					value = nil
				}
				s.change(id, value)
				past[s.at()] = maps.Clone(s.values)
			case 4: // a full read, possibly of an old revision
				at := pointAt(uint64(rapid.IntRange(1, int(s.revision)).Draw(t, "at")))
				if storeReturns {
					at = rapid.SampledFrom(slices.SortedFunc(maps.Keys(past), history.Point.Compare)).Draw(t, "read")
				}
				l.Replace(0, maps.Clone(past[at]), at)
			case 5: // a watch
				if l.IsLoaded() && l.At().Era == s.era {
					l.ApplyChanges(s.after(l.At().Revision), s.at())
				}
			case 6, 7: // a pull from a peer, whose response may be lost
				update := from.UpdateSince(l.At())
				if from.IsLoaded() && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					l.ApplyUpdate(0, update)
					if l.IsBehind(from.LastChange()) {
						t.Fatalf("behind %v at %v after a pull", from.LastChange(), l.At())
					}
				}
			case 8:
				copied := rapid.SampledFrom(slices.SortedFunc(maps.Keys(past), history.Point.Compare)).Draw(t, "copy")
				if copied.Era == s.era && rapid.IntRange(0, 9).Draw(t, "returns") == 0 {
					s.comeBackFrom(copied.Revision, past[copied])
					past[s.at()] = maps.Clone(s.values)
				}
			}
			for i, l := range logs {
				if want := past[l.At()]; l.IsLoaded() && !maps.EqualFunc(l.values, want, bytes.Equal) {
					t.Fatalf("instance %d at %v holds %v, the store held %v", i, l.At(), content(l), want)
				}
			}
		}
	})
}

func TestEqualContentIsNoChange(t *testing.T) {
	is := is.New(t)
	sameHead := func(a, b []byte) bool { return a[0] == b[0] }
	l := New(sameHead)
	l.Replace(0, map[string][]byte{"a": []byte("x1")}, pointAt(10))
	is.Equal(l.LastChange(), pointAt(initialChange)) // the first read is not a change
	is.True(New(sameHead).IsBehind(l.LastChange()))  // but an empty log is behind it
	l.Replace(0, map[string][]byte{"a": []byte("x2")}, pointAt(20))
	is.Equal(l.LastChange(), pointAt(initialChange)) // equivalent value
	l.Replace(0, map[string][]byte{"a": []byte("y3")}, pointAt(30))
	is.Equal(l.LastChange(), pointAt(30))
	other := New(sameHead)
	other.Replace(0, map[string][]byte{"a": []byte("x1")}, pointAt(15))
	is.True(other.IsBehind(l.LastChange()))
	update := l.UpdateSince(other.At())
	is.True(update.Full) // changes between two reads are unknown
	is.Equal(len(update.Entries), 1)
}

func TestFarBehindPeerGetsFullUpdate(t *testing.T) {
	is := is.New(t)
	l := New(bytes.Equal)
	l.Replace(0, map[string][]byte{}, pointAt(1))
	for i := range 2 * minHistory {
		l.ApplyChanges([]Entry{{ID: "a", Value: []byte{byte(i)}, Revision: uint64(i + 2)}}, pointAt(uint64(i+2)))
	}
	is.True(l.UpdateSince(pointAt(3)).Full)
	is.True(!l.UpdateSince(pointAt(l.At().Revision - 10)).Full)
	is.Equal(len(l.UpdateSince(pointAt(l.At().Revision-10)).Entries), 10)
	is.True(l.UpdateSince(pointAt(0)).Full)
}

// What the copy lacks holds on for a moment, and what was deleted before the store's return
// does not come back with the copy; a change in the new era ends both for its key.
func TestPreviousEraHoldsOn(t *testing.T) {
	is := is.New(t)
	l := New(bytes.Equal)
	v := func(text string) []byte { return []byte(text) }
	l.Replace(0, map[string][]byte{"stays": v("1"), "new": v("1"), "gone": v("1"), "lost": v("1")}, history.Point{Era: 1, Revision: 50})
	l.ApplyChanges([]Entry{{ID: "gone", Revision: 51, Deleted: true}}, history.Point{Era: 1, Revision: 60})
	copied := map[string][]byte{"stays": v("1"), "gone": v("1")}
	second := history.Point{Era: 2, Revision: 20}
	is.True(l.IsBehind(second))
	l.Replace(time.Second, copied, second)
	is.Equal(l.At(), second)
	expect := func(id string, listed bool) {
		t.Helper()
		_, ok := l.Value(id)
		is.Equal(ok, listed)
	}
	expect("stays", true)
	expect("new", true)
	expect("lost", true)
	expect("gone", false)
	is.Equal(len(l.UpdateSince(history.Point{Era: 1, Revision: 60}).Entries), 2) // peers get what the store holds
	l.ApplyChanges([]Entry{{ID: "new", Value: v("2"), Revision: 21}}, history.Point{Era: 2, Revision: 21})
	l.ApplyChanges([]Entry{{ID: "lost", Revision: 30, Deleted: true}}, history.Point{Era: 1, Revision: 70}) // late, of the previous era
	is.True(!l.Expire(time.Second + missingTTL - 1))
	expect("lost", true)
	is.True(l.Expire(time.Second + missingTTL))
	is.True(l.TakeChanged()["lost"])
	expect("lost", false)
	expect("new", true)
	expect("gone", false)
	third := history.Point{Era: 3, Revision: 10}
	l.Replace(2*time.Second, copied, third) // again, before the time is over
	expect("gone", false)
	expect("new", true)
	l.ApplyChanges([]Entry{{ID: "gone", Value: v("3"), Revision: 11}, {ID: "new", Revision: 12, Deleted: true}}, history.Point{Era: 3, Revision: 12})
	expect("gone", true) // it lives
	expect("new", false)
	l.Expire(time.Hour)
	is.True(!l.Expire(2 * time.Hour))
	expect("stays", true)
}
