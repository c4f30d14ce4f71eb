package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// setTwoHalls gives the placer two engines in different halls and applies change
// to the second one.
func setTwoHalls(p *Placer, warm *catalog.WarmUp, change func(*catalog.Replica)) {
	list := []catalog.Replica{{ID: "e0", Service: "llm", Address: "e0:1", Hall: "a"}, {ID: "e1", Service: "llm", Address: "e1:1", Hall: "b"}}
	change(&list[1])
	engine := &catalog.Engine{Slots: 128, MemoryTokens: 100_000}
	p.SetEngines(map[string]*catalog.Service{"llm": {Engine: engine, WarmUp: warm}}, list)
}

// An engine in a drained hall gets no request; its cached prefixes are still
// fetched from it.
func TestDrainedEngineIsOnlyFetchedFrom(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(2)
	placer.Begin(0, request(1, 100, 10, "manual"), choiceOf("e1"))
	setTwoHalls(placer, nil, func(r *catalog.Replica) { r.HallDrained = true })
	for id := range uint64(10) {
		c, ok := placer.Place(time.Second, request(id+2, 100, 10, "manual"))
		is.True(ok)
		is.Equal(c.Replica.ID, "e0")
		is.Equal(c.FetchFrom, "e1:1")
	}
	placer.Begin(time.Second, request(20, 100, 10, "manual"), choiceOf("e0"))
	c, _ := placer.Place(time.Second, request(21, 100, 10, "manual"))
	is.Equal(c.FetchFrom, "") // now cached at e0 as well
	setTwoHalls(placer, nil, func(r *catalog.Replica) { r.HallDrained, r.Draining = true, true })
	c, _ = placer.Place(time.Second, request(22, 100, 10, "manual"))
	is.Equal(c.Replica.ID, "e0")
}

// A warming engine gets no more requests per second than its owner may send to
// it.
func TestWarmingEngineIsRateLimited(t *testing.T) {
	is := is.New(t)
	placer := New(DefaultOptions(), warmup.Limit{Overrun: 1.5, Slack: 5})
	setTwoHalls(placer, &catalog.WarmUp{Duration: time.Minute, RequestsPerSecond: 3}, func(r *catalog.Replica) { r.WarmingUntil = 10 * time.Second })
	at := map[string]int{}
	for i := range uint64(99) {
		r := request(i+1, 10, 1)
		c, ok := placer.Place(time.Duration(i)*10*time.Millisecond, r)
		is.True(ok)
		placer.Begin(time.Duration(i)*10*time.Millisecond, r, c)
		at[c.Replica.ID]++
	}
	is.Equal(at["e1"], 3)
	c, _ := placer.Place(11*time.Second, request(200, 10, 1))
	is.Equal(c.Replica.ID, "e1") // warm, and less loaded
}

// Guards against treating a first event at time 0 as absent: End then
// decremented the prefill count a second time.
func TestFirstEventAtTimeZero(t *testing.T) {
	is := is.New(t)
	placer := New(DefaultOptions(), warmup.Limit{})
	services := map[string]*catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 1000}}}
	placer.SetEngines(services, []catalog.Replica{{ID: "e", Service: "llm"}})
	r := &Request{ID: 1, Service: "llm", Parts: []catalog.PromptPart{{ID: "a", Tokens: 10}}}
	choice, ok := placer.Place(0, r)
	is.True(ok)
	placer.Begin(0, r, choice)
	placer.FirstEvent(0, 1)
	placer.End(0, 1)
	is.Equal(placer.engines["e"].prefilling, 0)
	is.Equal(placer.engines["e"].generating, 0)
}
