package readers

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
)

// fleet returns settled instances, the same number in each hall.
func fleet(halls, each int) []gossip.Instance {
	var out []gossip.Instance
	for h := range halls {
		for i := range each {
			out = append(out, gossip.Instance{Name: fmt.Sprintf("hall-%d-%d", h, i), Hall: fmt.Sprintf("hall-%d", h), HeartbeatCount: 100, CPUShare: 400})
		}
	}
	return out
}

func readerIndexes(alive []gossip.Instance) []int {
	var out []int
	for i := range alive {
		if IsReader(alive[i].Name, alive) {
			out = append(out, i)
		}
	}
	return out
}

func TestReaderCountFollowsHalls(t *testing.T) {
	is := is.New(t)
	is.Equal(len(readerIndexes(fleet(4, 2))), 4)
	is.Equal(len(readerIndexes(fleet(4, 20))), 4)
	is.Equal(len(readerIndexes(fleet(9, 43))), 9)
	is.Equal(len(readerIndexes(fleet(2, 10))), 4) // at least three readers per fleet
	is.Equal(len(readerIndexes(fleet(1, 10))), 3)
	is.Equal(len(readerIndexes(fleet(1, 2))), 2)
	is.Equal(len(readerIndexes(fleet(1, 1))), 1) // an instance without peers reads the store itself
}

func TestReaderIsKeptWhenInstanceJoins(t *testing.T) {
	is := is.New(t)
	alive := fleet(1, 8)
	before := readerIndexes(alive)
	for _, i := range before {
		alive[i].IsReader = true
	}
	alive = append(alive, gossip.Instance{Name: "hall-0-z", Hall: "hall-0", HeartbeatCount: 100, CPUShare: 400})
	is.Equal(readerIndexes(alive), before)
}

func TestUnsuitableReaderIsReplaced(t *testing.T) {
	is := is.New(t)
	for _, disqualify := range []func(*gossip.Instance){
		func(i *gossip.Instance) { i.StoreUnreachable = true },
		func(i *gossip.Instance) { i.Leaving = true },
		func(i *gossip.Instance) { i.HeartbeatCount, i.IsReader = 2, false }, // restarted
	} {
		alive := fleet(4, 3)
		first := readerIndexes(alive)[0]
		alive[first].IsReader = true
		disqualify(&alive[first])
		for _, i := range readerIndexes(alive) {
			is.True(i != first)
		}
		is.Equal(len(readerIndexes(alive)), 4)
	}
}

// A restarted instance considers itself a reader until it learns of others, and
// must then yield to the reader with the longer uptime.
func TestRestartedReaderYieldsToOlderReader(t *testing.T) {
	is := is.New(t)
	for restarted := range 3 {
		alive := fleet(4, 3)
		for i := range 3 { // the instances of the first hall
			alive[i].IsReader = i != (restarted+1)%3
		}
		alive[restarted].HeartbeatCount = 2
		for _, i := range readerIndexes(alive) {
			is.True(i != restarted)
		}
	}
}

// When all instances start at once, each sees itself as settled before it sees
// that of the others, and must not replace a reader for that reason.
func TestReadersAreStableWhenAllInstancesStart(t *testing.T) {
	is := is.New(t)
	alive := fleet(1, 9)
	first := readerIndexes(alive)
	for i := range alive {
		alive[i].HeartbeatCount = 2
	}
	for _, i := range first {
		alive[i].IsReader = true
	}
	for self := range alive {
		view := slices.Clone(alive)
		view[self].HeartbeatCount = 100
		is.Equal(readerIndexes(view), first)
	}
}

func TestReadersAreChosenIfNoInstanceReachesTheStore(t *testing.T) {
	is := is.New(t)
	alive := fleet(4, 3)
	for i := range alive {
		alive[i].StoreUnreachable = true
	}
	is.Equal(len(readerIndexes(alive)), 4)
}

func TestInstancesWithMoreCPUArePreferred(t *testing.T) {
	is := is.New(t)
	alive := fleet(4, 10)
	for h := range 4 {
		alive[h*10+7].CPUShare = 800
		alive[h*10+7].HeartbeatCount = 50
	}
	is.Equal(readerIndexes(alive), []int{7, 17, 27, 37})
}
