package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

func newPlacer(engines int) *Placer {
	p := New(DefaultOptions(), warmup.Limit{})
	services := map[string]*catalog.Service{"llm": {Engine: &catalog.Engine{Slots: 128, MemoryTokens: 100_000}}}
	var list []catalog.Replica
	for i := range engines {
		id := fmt.Sprint("e", i)
		list = append(list, catalog.Replica{ID: id, Service: "llm", Address: id + ":1", Hall: string(rune('a' + i%2))})
	}
	p.SetEngines(services, list)
	return p
}

func request(id uint64, tokens, out int, shared ...string) *Request {
	r := &Request{ID: id, Service: "llm", OutputTokens: out, Slack: time.Second}
	for _, s := range shared {
		r.Parts = append(r.Parts, catalog.PromptPart{ID: s, Tokens: 2000})
	}
	r.Parts = append(r.Parts, catalog.PromptPart{ID: fmt.Sprint("own", id), Tokens: tokens})
	return r
}

func choiceOf(replica string) Choice {
	return Choice{Replica: catalog.Replica{ID: replica}, PrefillTokens: 1000}
}

func (p *Placer) begin(now time.Duration, r *Request) Choice {
	c, _ := p.Place(now, r)
	p.Begin(now, r, c)
	return c
}

// Guards against prefilling long prompts on an engine with many streams, which
// paused them for more than 500 ms and made them late.
func TestLongPromptAvoidsEngineWithManyStreams(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(3)
	busy := ""
	for i := range uint64(6) { // all on the same engine
		r := request(i, 100, 200)
		for id := range placer.engines {
			if busy == "" || id == busy {
				busy = id
			}
		}
		placer.Begin(0, r, choiceOf(busy))
		placer.FirstEvent(80*time.Millisecond, i)
	}
	for i := range uint64(4) {
		c, ok := placer.Place(time.Second, request(100+i, 12000, 20))
		is.True(ok)
		is.True(c.Replica.ID != busy)
	}
}

func TestPromptGoesToEngineThatCachesIt(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(4)
	first := placer.begin(0, request(1, 100, 20, "doc"))
	placer.FirstEvent(200*time.Millisecond, 1)
	placer.End(time.Second, 1)
	second, _ := placer.Place(2*time.Second, request(2, 100, 20, "doc"))
	is.Equal(second.Replica.ID, first.Replica.ID)
	is.Equal(second.FetchFrom, "")
}

func TestCachedPrefixIsTransferredFromOtherEngine(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(2)
	first := placer.begin(0, request(1, 100, 20, "doc"))
	placer.FirstEvent(200*time.Millisecond, 1)
	r := request(2, 100, 20, "doc")
	r.Avoid = map[string]bool{}
	r.ResultBytes = map[string]int64{"a": 0}
	other := "a"
	if first.Replica.Hall == "a" {
		other = "b"
	}
	r.ResultBytes = map[string]int64{other: 5_000_000}
	second, _ := placer.Place(time.Second, r)
	is.True(second.Replica.ID != first.Replica.ID) // the alternative is to read 5 MB from the other hall
	is.Equal(second.FetchFrom, first.Replica.Address)
}

func TestSlowEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(2)
	for i := range uint64(20) {
		began := time.Duration(i) * 3 * time.Second // sequential, so that no other prefill delays a request
		r := request(i, 1000, 20)
		placer.Begin(began, r, choiceOf("e0"))
		placer.FirstEvent(began+2*time.Second, i)
		placer.End(began+2*time.Second, i)
	}
	slow := 0
	for i := range uint64(10) {
		if c, _ := placer.Place(time.Hour, request(100+i, 1000, 20)); c.Replica.ID == "e0" {
			slow++
		}
	}
	is.Equal(slow, 0)
}

func TestDrainingEngineGetsNoRequest(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(1)
	placer.engines["e0"].Draining = true
	_, ok := placer.Place(0, request(1, 10, 10))
	is.True(!ok)
}

func TestEngineMemoryBoundsCachedParts(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(1)
	for i := range uint64(100) {
		placer.Begin(time.Duration(i)*time.Second, request(i, 5000, 10), choiceOf("e0"))
		placer.End(time.Duration(i)*time.Second, i)
	}
	is.True(placer.engines["e0"].cachedTokens <= 70_000)
	is.Equal(placer.Running(), 0)
}

func BenchmarkPlace(b *testing.B) {
	placer := newPlacer(90)
	for i := range uint64(600) {
		r := request(i, 500, 100, fmt.Sprint("doc", i%150), fmt.Sprint("part", i%300))
		c := placer.begin(time.Duration(i)*time.Millisecond, r)
		if i%3 != 0 {
			placer.FirstEvent(time.Duration(i)*time.Millisecond, i)
		}
		_ = c
	}
	r := request(1000, 500, 100, "doc7", "part7")
	b.ReportAllocs()
	for b.Loop() {
		placer.Place(time.Second, r)
	}
}

// After a change of owner, shared prompts were prefilled again on arbitrary
// engines although most engines had them cached. The new owner uses the
// engines' cache reports instead.
func TestReportedCacheIsNotPrefilledAgain(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(3)
	kept := []catalog.PromptPart{{ID: "system", Tokens: 2000}, {ID: "case", Tokens: 2000}}
	placer.RecordCacheReport(time.Second, "e1", kept)
	c, ok := placer.Place(time.Second, request(1, 100, 20, "system", "case"))
	is.True(ok)
	is.Equal(c.Replica.ID, "e1")
	is.Equal(c.FetchFrom, "")

	e := placer.engines["e1"]
	o := &placer.opts
	parts := func(ids ...string) []catalog.PromptPart { return request(2, 100, 20, ids...).Parts }
	keeps := func(now time.Duration, p []catalog.PromptPart) int { return e.cachedPrefix(now, o, p, prefixKeys(p)) }
	is.Equal(keeps(time.Second, parts("system", "case")), 4000)
	is.Equal(keeps(time.Second, parts("other", "case")), 0) // a part only counts if all parts before it are cached
	is.Equal(keeps(time.Second+o.CacheReportTTL+1, parts("system", "case")), 0)
}

// A prefix cached in another region is transferred, because prefilling it again
// costs ten times as much. A local copy takes precedence.
func TestPrefixIsFetchedFromRemoteRegion(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(3)
	r := request(1, 100, 20, "s")
	r.RemoteCache = CachedPrefix{Address: "far:1", Tokens: 2000}
	is.Equal(placer.begin(0, r).FetchFrom, "far:1")
	again := request(2, 100, 20, "s")
	again.RemoteCache = r.RemoteCache
	c, _ := placer.Place(time.Second, again)
	is.True(c.FetchFrom != "far:1")
	is.Equal(placer.LongestCachedPrefix(time.Second, "llm", request(3, 100, 20, "s").Parts[:1]).Tokens, 2000)
	is.Equal(placer.LongestCachedPrefix(time.Second, "llm", request(3, 100, 20, "t").Parts[:1]).Tokens, 0)
}

// A suspect shares an engine with no other suspect, and a request on trial
// shares its engine with no other request.
func TestSuspectsAreIsolated(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(4)
	for i := range uint64(3) { // all engines but one are busy
		r := request(i, 100, 200)
		placer.Begin(0, r, choiceOf(fmt.Sprint("e", i)))
		placer.FirstEvent(0, i)
	}
	decisive := request(10, 100, 200, "shared")
	decisive.ReplicaEnds = 2
	c := placer.begin(0, decisive)
	is.Equal(c.Replica.ID, "e3")
	taken := map[string]bool{"e3": true}
	for i := range uint64(3) {
		suspect := request(20+i, 100, 200, "shared") // its shared part is cached at e3
		suspect.ReplicaEnds = 1
		c := placer.begin(0, suspect)
		is.True(!taken[c.Replica.ID])
		taken[c.Replica.ID] = true
	}
	is.True(placer.begin(0, request(30, 100, 200, "shared")).Replica.ID != "e3")
	late := request(31, 100, 200)
	late.ReplicaEnds = 1
	_, ok := placer.Place(0, late)
	is.True(ok) // sharing an engine is better than not being placed
	placer.End(0, 10)
	is.Equal(placer.begin(0, request(40, 100, 200, "shared")).Replica.ID, "e3")
}

// When all engines run suspects, further suspects spread evenly, and a trial
// goes where the fewest requests are at risk.
func TestSuspectsSpreadEvenlyOverEngines(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(4)
	count := make(map[string]int)
	for i := range uint64(10) {
		r := request(i, 1, 1, "shared") // cached at one engine, which would otherwise get all of them
		r.ReplicaEnds = 1
		count[placer.begin(0, r).Replica.ID]++
		placer.FirstEvent(0, i)
	}
	for _, n := range count {
		is.True(n <= 3)
	}
	decisive := request(20, 1, 1, "shared")
	decisive.ReplicaEnds = TrialThreshold
	c := placer.begin(0, decisive)
	is.Equal(c.ConcurrentSuspects, 2)
	late := request(21, 1, 1, "shared")
	late.ReplicaEnds = 1
	is.True(placer.begin(0, late).Replica.ID != c.Replica.ID) // does not share the engine of the trial
}
