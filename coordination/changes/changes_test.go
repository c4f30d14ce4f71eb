package changes

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func content(l *Log) map[string]string {
	out := make(map[string]string)
	for _, e := range l.UpdateSince(0).Entries {
		out[e.ID] = string(e.Value)
	}
	return out
}

// store is a model of the platform's store: a revision counter, values and their
// history.
type store struct {
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
// exactly the store's content at its revision, and after a pull from a peer with a
// newer change it is no longer behind that peer.
func TestLogsMatchTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{values: make(map[string][]byte), revision: 1}
		past := map[uint64]map[string][]byte{1: {}}
		logs := make([]*Log, 4)
		for i := range logs {
			logs[i] = New(bytes.Equal)
		}
		steps := rapid.IntRange(1, 400).Draw(t, "steps")
		for range steps {
			l := logs[rapid.IntRange(0, len(logs)-1).Draw(t, "instance")]
			from := logs[rapid.IntRange(0, len(logs)-1).Draw(t, "from")]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2, 3:
				id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
				value := []byte(fmt.Sprint(s.revision))
				if rapid.Bool().Draw(t, "deleted") {
					value = nil
				}
				s.change(id, value)
				past[s.revision] = maps.Clone(s.values)
			case 4: // a full read, possibly of an old revision
				at := uint64(rapid.IntRange(1, int(s.revision)).Draw(t, "at"))
				l.Replace(maps.Clone(past[at]), at)
			case 5: // a watch
				if l.IsLoaded() {
					l.ApplyChanges(s.after(l.Revision()), s.revision)
				}
			case 6, 7: // a pull from a peer, whose response may be lost
				update := from.UpdateSince(l.Revision())
				if from.IsLoaded() && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					l.ApplyUpdate(update)
					if l.IsBehind(from.LastChange()) {
						t.Fatalf("behind %d at %d after a pull", from.LastChange(), l.Revision())
					}
				}
			}
			for i, l := range logs {
				if want := past[l.Revision()]; l.IsLoaded() && !maps.EqualFunc(l.values, want, bytes.Equal) {
					t.Fatalf("instance %d at %d holds %v, the store held %v", i, l.Revision(), content(l), want)
				}
			}
		}
	})
}

func TestEqualContentIsNoChange(t *testing.T) {
	is := is.New(t)
	sameHead := func(a, b []byte) bool { return a[0] == b[0] }
	l := New(sameHead)
	l.Replace(map[string][]byte{"a": []byte("x1")}, 10)
	is.Equal(l.LastChange(), uint64(initialChange)) // the first read is not a change
	is.True(New(sameHead).IsBehind(l.LastChange())) // but an empty log is behind it
	l.Replace(map[string][]byte{"a": []byte("x2")}, 20)
	is.Equal(l.LastChange(), uint64(initialChange)) // equivalent value
	l.Replace(map[string][]byte{"a": []byte("y3")}, 30)
	is.Equal(l.LastChange(), uint64(30))
	other := New(sameHead)
	other.Replace(map[string][]byte{"a": []byte("x1")}, 15)
	is.True(other.IsBehind(l.LastChange()))
	update := l.UpdateSince(other.Revision())
	is.True(update.Full) // changes between two reads are unknown
	is.Equal(len(update.Entries), 1)
}

func TestFarBehindPeerGetsFullUpdate(t *testing.T) {
	is := is.New(t)
	l := New(bytes.Equal)
	l.Replace(map[string][]byte{}, 1)
	for i := range 2 * minHistory {
		l.ApplyChanges([]Entry{{ID: "a", Value: []byte{byte(i)}, Revision: uint64(i + 2)}}, uint64(i+2))
	}
	is.True(l.UpdateSince(3).Full)
	is.True(!l.UpdateSince(l.Revision() - 10).Full)
	is.Equal(len(l.UpdateSince(l.Revision()-10).Entries), 10)
	is.True(l.UpdateSince(0).Full)
}
