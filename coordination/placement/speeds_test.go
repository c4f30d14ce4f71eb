package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// serveFastEngines runs requests with prompts of up to 30,000 tokens on engines
// that prefill 110 tokens per ms.
func serveFastEngines(p *Placer, requests uint64) {
	now := time.Duration(0)
	for id := range requests {
		r := request(id, 100<<(id%9), 30)
		p.begin(now, r)
		now += 90*time.Millisecond + time.Duration(r.promptTokens())*9*time.Microsecond
		p.FirstEvent(now, id)
		now += time.Second
		p.End(now, id)
	}
}

// Guards against estimating fast engines with the slow prior: prompts of 33,000
// to 61,000 tokens were rejected because only 16 ms of 1.2 s seemed to be left
// for their stages, although the engines prefilled them in half a second.
func TestLongPromptEstimateFollowsObservedSpeed(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(4)
	long := request(1000, 50_000, 40)
	c, _ := placer.Place(0, long)
	is.True(placer.TimeToFirstEvent(long, c) > 1200*time.Millisecond) // no observations yet
	serveFastEngines(placer, 200)
	c, _ = placer.Place(time.Hour, long)
	is.True(placer.TimeToFirstEvent(long, c) < 700*time.Millisecond)
	is.Equal(c.PrefillTokens, 50_000)

	fresh := newPlacer(4) // of another owner
	is.True(fresh.SeedSpeed(0, "llm", placer.Speeds()["llm"].Estimate()))
	is.True(fresh.TimeToFirstEvent(long, c) < 700*time.Millisecond)
}

// Cached tokens are not prefilled, so the time to first event shrinks and the
// earlier stages get the time saved.
func TestCachedPrefixShortensTimeToFirstEvent(t *testing.T) {
	is := is.New(t)
	placer := newPlacer(4)
	serveFastEngines(placer, 200)
	r := request(1000, 100, 40, "manual", "case")
	unread, _ := placer.Place(time.Hour, r)
	placer.begin(time.Hour, request(1001, 100, 40, "manual", "case"))
	kept, _ := placer.Place(time.Hour, r)
	is.Equal(unread.PrefillTokens-kept.PrefillTokens, 4000)
	is.True(placer.TimeToFirstEvent(r, unread)-placer.TimeToFirstEvent(r, kept) > 30*time.Millisecond)
}

// The transfer time of cached parts follows from the configured link bandwidth.
func TestTransferTimeFollowsConfiguredLink(t *testing.T) {
	is := is.New(t)
	e := &catalog.Engine{Slots: 64, MemoryTokens: 100_000, BytesPerToken: 35_136, LinkMbps: 550_000}
	is.Equal(transferTimePerToken(e), 511*time.Nanosecond)
	placer := New(DefaultOptions(), warmup.Limit{})
	placer.SetEngines(map[string]*catalog.Service{"llm": {Engine: e}}, []catalog.Replica{{ID: "e0", Service: "llm"}})
	r := request(1, 100, 10)
	fetched := Choice{Replica: catalog.Replica{ID: "e0"}, PrefillTokens: 100, TransferTokens: 1000}
	read := Choice{Replica: catalog.Replica{ID: "e0"}, PrefillTokens: 100}
	is.Equal(placer.TimeToFirstEvent(r, fetched)-placer.TimeToFirstEvent(r, read), 511*time.Microsecond)
}
