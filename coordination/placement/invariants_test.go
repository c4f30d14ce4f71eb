package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// Checks after random arrivals, first events, ends and engine changes that no
// counter of an engine is negative, that no excluded or draining engine is
// chosen, and that the cached token counts match the cached parts.
func TestInvariantsUnderRandomSteps(t *testing.T) {
	services := map[string]*catalog.Service{"llm": {Engine: &catalog.Engine{Slots: 4, MemoryTokens: 2000}}}
	engines := func(n int) []catalog.Replica {
		var out []catalog.Replica
		for i := range n {
			out = append(out, catalog.Replica{ID: fmt.Sprint("e", i), Service: "llm", Hall: fmt.Sprint("h", i%2), Address: fmt.Sprint("e", i, ":1")})
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		placer := New(DefaultOptions(), warmup.Limit{})
		placer.SetEngines(services, engines(4))
		now, next := time.Duration(0), uint64(0)
		open := make([]uint64, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step <= 1:
				next++
				r := &Request{ID: next, Service: "llm", OutputTokens: 50, Slack: time.Second, Avoid: map[string]bool{}}
				for range rapid.IntRange(1, 3).Draw(t, "parts") {
					r.Parts = append(r.Parts, catalog.PromptPart{ID: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "part")), Tokens: 300})
				}
				if rapid.Bool().Draw(t, "avoid") {
					r.Avoid["e0"] = true
				}
				choice, ok := placer.Place(now, r)
				if !ok {
					continue
				}
				if r.Avoid[choice.Replica.ID] || placer.engines[choice.Replica.ID].Draining {
					t.Fatalf("%s was chosen although it is excluded or draining", choice.Replica.ID)
				}
				if choice.FetchFrom == choice.Replica.Address {
					t.Fatalf("%s fetches from itself", choice.Replica.ID)
				}
				placer.Begin(now, r, choice)
				open = append(open, next)
			case step <= 3 && len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				if step == 2 {
					placer.FirstEvent(now, open[i])
					continue
				}
				placer.End(now, open[i])
				placer.End(now, open[i]) // a repeated end has no effect
				open = append(open[:i], open[i+1:]...)
			case step == 4:
				list := engines(rapid.IntRange(0, 4).Draw(t, "listed"))
				for i := range list {
					list[i].Draining = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				}
				placer.SetEngines(services, list)
			}
			if placer.Running() != len(open) {
				t.Fatalf("%d requests are running, the placer counts %d", len(open), placer.Running())
			}
			for id, e := range placer.engines {
				tokens := 0
				for _, p := range e.cached {
					tokens += p.tokens
				}
				if e.generating < 0 || e.prefilling < 0 || tokens != e.cachedTokens {
					t.Fatalf("%s: %d generating, %d prefilling, counts %d cached tokens instead of %d", id, e.generating, e.prefilling, e.cachedTokens, tokens)
				}
			}
		}
	})
}
