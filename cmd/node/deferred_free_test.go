package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/listing"
	"quinceroad/coordination/pipeline"
	"quinceroad/platform"
	"quinceroad/state/catalog"
)

// Results wait with their freeing for the end of a backoff; another backoff that begins
// meanwhile must not leave them in their replica's memory until they expire.
func TestDeferredFreeOutlastsAnotherBackoff(t *testing.T) {
	is := is.New(t)
	freed := make(chan time.Duration, 4)
	n := New(&platform.Settings{Name: "n1", Hall: "h1", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	replica := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { freed <- n.now() }))
	defer replica.Close()
	config := &catalog.Configuration{Services: map[string]*catalog.Service{"read": {Name: "read", Pool: &catalog.Pool{ResultTTL: 2 * time.Second}}}}
	n.snapshot.Store(&snapshot{config: config, regionMap: n.regionMap, list: listing.Empty()})
	backOff := func(duration time.Duration) time.Duration {
		n.advisories.withTracker(func(tr *advisory.Tracker) { tr.RecordBackoff(n.now(), "p1", duration) })
		return n.now() + duration
	}
	backOff(100 * time.Millisecond)
	free := pipeline.Free{Replica: "p1", Service: "read", Address: strings.TrimPrefix(replica.URL, "http://"), Handles: []string{"a"}}
	is.True(n.deferFree(free))
	until := backOff(400 * time.Millisecond)
	free.Handles = []string{"b"}
	is.True(n.deferFree(free))
	select {
	case at := <-freed:
		is.True(at >= until-time.Millisecond)
	case <-time.After(1500 * time.Millisecond):
		t.Fatal("the results are not freed")
	}
	is.Equal(len(freed), 0) // all of them in one call
}

// Nothing is sent during a backoff that outlasts the results.
func TestDeferredFreeEndsWithItsResults(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	config := &catalog.Configuration{Services: map[string]*catalog.Service{"read": {Name: "read", Pool: &catalog.Pool{ResultTTL: 50 * time.Millisecond}}}}
	n.snapshot.Store(&snapshot{config: config, regionMap: n.regionMap, list: listing.Empty()})
	n.advisories.withTracker(func(tr *advisory.Tracker) { tr.RecordBackoff(n.now(), "p1", time.Minute) })
	is.True(n.deferFree(pipeline.Free{Replica: "p1", Service: "read", Address: "127.0.0.1:1", Handles: []string{"a"}}))
	left := func() int {
		n.advisories.mu.Lock()
		defer n.advisories.mu.Unlock()
		return len(n.advisories.deferredFrees)
	}
	for end := time.Now().Add(2 * time.Second); left() > 0; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}
