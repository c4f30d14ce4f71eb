package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"quinceroad/coordination/changes"
	"quinceroad/platform"
	"quinceroad/state/catalog"
)

// A list of 50,000 entries of which half can't be read, one of them of a megabyte: the
// others hold, and the log says so in a few lines.
func TestHalfUnreadableListHoldsTheRest(t *testing.T) {
	is := is.New(t)
	const entries = 50000
	var log bytes.Buffer
	n := New(&platform.Settings{Name: "n", Hall: "hall-0", StoreAddress: "127.0.0.1:1"}, hclog.New(&hclog.LoggerOptions{Output: &log}))
	values := make(map[string][]byte, entries)
	for i := range entries {
		name := fmt.Sprintf("i-%08x", i)
		switch {
		case i == 1:
			values[name] = append([]byte(`{"service":"`), bytes.Repeat([]byte("x"), 1<<20)...)
		case i%2 == 1:
			values[strings.Repeat("long", 100)+name] = []byte(`{"service":7}`)
		default:
			values[name] = replicaEntry(t, &catalog.Replica{Service: "s", Address: "10.1.64.1:8080", Hall: "hall-1", Slots: 8})
		}
	}
	n.replicas.changeLog.Replace(0, values, pointAt(100))
	n.publishSnapshot()
	is.Equal(n.snapshot.Load().list.Len(), entries/2)
	is.Equal(n.counters.invalidEntries.Count(), int64(entries/2))
	is.True(strings.Count(log.String(), "\n") <= maxInvalidLines+1)
	is.True(log.Len() < 30000)
	n.publishSnapshot()
	is.Equal(n.counters.invalidEntries.Count(), int64(entries/2)) // each counts once
	n.replicas.changeLog.ApplyChanges([]changes.Entry{{ID: "i-00000003", Value: replicaEntry(t, &catalog.Replica{Service: "s", Address: "10.1.64.1:8080", Hall: "hall-1", Slots: 8}), Revision: 101}}, pointAt(101))
	n.publishSnapshot()
	is.Equal(n.snapshot.Load().list.Len(), entries/2+1)
}
