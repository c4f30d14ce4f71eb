package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// withHall sets a table's two engines, the second one in another hall and changed.
func withHall(t *Table, warm *catalog.WarmUp, change func(*catalog.Replica)) {
	list := []catalog.Replica{{ID: "e0", Service: "llm", Address: "e0:1", Hall: "a"}, {ID: "e1", Service: "llm", Address: "e1:1", Hall: "b"}}
	change(&list[1])
	engine := &catalog.Engine{Slots: 128, MemoryTokens: 100_000}
	t.SetEngines(map[string]*catalog.Service{"llm": {Engine: engine, WarmUp: warm}}, list)
}

// An engine whose hall is being emptied gets no request; what it keeps is fetched from there.
func TestAnEmptiedEngineIsOnlyFetchedFrom(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	table.Begin(0, request(1, 100, 10, "manual"), at("e1"))
	withHall(table, nil, func(r *catalog.Replica) { r.Emptied = true })
	for id := range uint64(10) {
		c, ok := table.Place(time.Second, request(id+2, 100, 10, "manual"))
		is.True(ok)
		is.Equal(c.Replica.ID, "e0")
		is.Equal(c.FetchFrom, "e1:1")
	}
	table.Begin(time.Second, request(20, 100, 10, "manual"), at("e0"))
	c, _ := table.Place(time.Second, request(21, 100, 10, "manual"))
	is.Equal(c.FetchFrom, "") // it has come by now
	withHall(table, nil, func(r *catalog.Replica) { r.Emptied, r.Leaving = true, true })
	c, _ = table.Place(time.Second, request(22, 100, 10, "manual"))
	is.Equal(c.Replica.ID, "e0")
}

// A cold engine gets as many requests in a second as its owner may give it.
func TestAColdEngineGetsFewRequests(t *testing.T) {
	is := is.New(t)
	table := New(DefaultOptions(), warmup.Limit{Overrun: 1.5, Slack: 5})
	withHall(table, &catalog.WarmUp{For: time.Minute, PerSecond: 3}, func(r *catalog.Replica) { r.ColdUntil = 10 * time.Second })
	at := map[string]int{}
	for i := range uint64(99) {
		r := request(i+1, 10, 1)
		c, ok := table.Place(time.Duration(i)*10*time.Millisecond, r)
		is.True(ok)
		table.Begin(time.Duration(i)*10*time.Millisecond, r, c)
		at[c.Replica.ID]++
	}
	is.Equal(at["e1"], 3)
	c, _ := table.Place(11*time.Second, request(200, 10, 1))
	is.Equal(c.Replica.ID, "e1") // warm, and emptier
}

// A first event was taken for none where it came at the very start of the time that
// is counted: the request was counted as read a second time at its end.
func TestAFirstEventAtTheStartOfTime(t *testing.T) {
	is := is.New(t)
	table := New(DefaultOptions(), warmup.Limit{})
	services := map[string]*catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 1000}}}
	table.SetEngines(services, []catalog.Replica{{ID: "e", Service: "llm"}})
	r := &Request{ID: 1, Service: "llm", Parts: []catalog.Part{{ID: "a", Tokens: 10}}}
	choice, ok := table.Place(0, r)
	is.True(ok)
	table.Begin(0, r, choice)
	table.FirstEvent(0, 1)
	table.End(0, 1)
	is.Equal(table.engines["e"].reading, 0)
	is.Equal(table.engines["e"].runs, 0)
}
