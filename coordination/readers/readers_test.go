package readers

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
)

// fleet returns settled instances, so many in each of so many halls.
func fleet(halls, each int) []gossip.Instance {
	var out []gossip.Instance
	for h := range halls {
		for i := range each {
			out = append(out, gossip.Instance{Name: fmt.Sprintf("hall-%d-%d", h, i), Hall: fmt.Sprintf("hall-%d", h), Count: 100, Share: 400})
		}
	}
	return out
}

func chosen(alive []gossip.Instance) []int {
	var out []int
	for i := range alive {
		if IsReader(alive[i].Name, alive) {
			out = append(out, i)
		}
	}
	return out
}

func TestReadersFollowTheHallsNotTheInstances(t *testing.T) {
	is := is.New(t)
	is.Equal(len(chosen(fleet(4, 2))), 4)
	is.Equal(len(chosen(fleet(4, 20))), 4)
	is.Equal(len(chosen(fleet(9, 43))), 9)
	is.Equal(len(chosen(fleet(2, 10))), 4) // never fewer than three
	is.Equal(len(chosen(fleet(1, 10))), 3)
	is.Equal(len(chosen(fleet(1, 2))), 2)
	is.Equal(len(chosen(fleet(1, 1))), 1) // who hears of nobody reads by itself
}

func TestAReaderStaysOne(t *testing.T) {
	is := is.New(t)
	alive := fleet(1, 8)
	before := chosen(alive)
	for _, i := range before {
		alive[i].Reads = true
	}
	alive = append(alive, gossip.Instance{Name: "hall-0-z", Hall: "hall-0", Count: 100, Share: 400})
	is.Equal(chosen(alive), before)
}

func TestABlindOrLeavingReaderHandsOver(t *testing.T) {
	is := is.New(t)
	for _, spoil := range []func(*gossip.Instance){
		func(i *gossip.Instance) { i.Blind = true },
		func(i *gossip.Instance) { i.Leaving = true },
		func(i *gossip.Instance) { i.Count, i.Reads = 2, false }, // it has just started again
	} {
		alive := fleet(4, 3)
		first := chosen(alive)[0]
		alive[first].Reads = true
		spoil(&alive[first])
		for _, i := range chosen(alive) {
			is.True(i != first)
		}
		is.Equal(len(chosen(alive)), 4)
	}
}

// One that has just started again and takes itself for a reader, as it hears of
// no other yet, gives way to who reads for longer.
func TestOfTwoReadersTheOlderStays(t *testing.T) {
	is := is.New(t)
	for young := range 3 {
		alive := fleet(4, 3)
		for i := range 3 { // those of the first hall
			alive[i].Reads = i != (young+1)%3
		}
		alive[young].Count = 2
		for _, i := range chosen(alive) {
			is.True(i != young)
		}
	}
}

// When all have started at once, each sees itself run for long enough before it
// hears that of the others, and must not take over for that.
func TestNobodyTakesOverInAStartOfAll(t *testing.T) {
	is := is.New(t)
	alive := fleet(1, 9)
	first := chosen(alive)
	for i := range alive {
		alive[i].Count = 2
	}
	for _, i := range first {
		alive[i].Reads = true
	}
	for self := range alive {
		view := slices.Clone(alive)
		view[self].Count = 100
		is.Equal(chosen(view), first)
	}
}

func TestAllBlindStillRead(t *testing.T) {
	is := is.New(t)
	alive := fleet(4, 3)
	for i := range alive {
		alive[i].Blind = true
	}
	is.Equal(len(chosen(alive)), 4)
}

func TestTheLargeReadForTheSmall(t *testing.T) {
	is := is.New(t)
	alive := fleet(4, 10)
	for h := range 4 {
		alive[h*10+7].Share = 800
		alive[h*10+7].Count = 50
	}
	is.Equal(chosen(alive), []int{7, 17, 27, 37})
}
