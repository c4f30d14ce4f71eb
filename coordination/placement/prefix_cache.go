package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceroad/state/catalog"
)

// cachedPart is a prompt part that an engine is assumed to have cached.
type cachedPart struct {
	tokens   int
	lastUsed time.Duration
}

// prefixKeys returns one key per part, a hash of that part and all parts before
// it.
func prefixKeys(parts []catalog.PromptPart) []uint64 {
	d := xxhash.New()
	keys := make([]uint64, 0, len(parts))
	for _, p := range parts {
		_, _ = d.WriteString(p.ID + ":" + strconv.Itoa(p.Tokens) + ",")
		keys = append(keys, d.Sum64())
	}
	return keys
}

// cachedPrefix returns the number of leading prompt tokens that an engine has
// cached.
func (e *engine) cachedPrefix(now time.Duration, o *Options, parts []catalog.PromptPart, keys []uint64) int {
	n := 0
	for i, k := range keys {
		if !e.isCached(now, o, parts[i], k) {
			break
		}
		n += parts[i].Tokens
	}
	return n
}

// isCached reports whether an engine has cached a part, because it recently ran
// a request with that part or because it reported the part itself.
func (e *engine) isCached(now time.Duration, o *Options, p catalog.PromptPart, key uint64) bool {
	if entry := e.cached[key]; entry != nil {
		return now-entry.lastUsed <= o.CacheTTL
	}
	return now-e.reportedAt <= o.CacheReportTTL && e.reported[p.ID] >= p.Tokens
}

// LongestCachedPrefix returns the engine of a service with the longest cached
// prefix of a prompt. Draining engines are skipped: they may have ended before
// the prefix is fetched.
func (p *Placer) LongestCachedPrefix(now time.Duration, service string, parts []catalog.PromptPart) (longest CachedPrefix) {
	keys := prefixKeys(parts)
	for _, e := range p.byService[service] {
		if e.Draining {
			continue
		}
		if n := e.cachedPrefix(now, &p.opts, parts, keys); n > longest.Tokens {
			longest = CachedPrefix{Address: e.Address, Tokens: n}
		}
	}
	return longest
}

// RecordCacheReport records the parts that an engine reports as cached, which
// it may have cached for requests of an earlier owner.
func (p *Placer) RecordCacheReport(now time.Duration, replica string, parts []catalog.PromptPart) {
	e := p.engines[replica]
	if e == nil {
		return
	}
	e.reported = make(map[string]int, len(parts))
	for _, p := range parts {
		e.reported[p.ID] = p.Tokens
	}
	e.reportedAt = now
}

func (e *engine) cachePart(now time.Duration, key uint64, tokens int) {
	if p := e.cached[key]; p != nil {
		p.lastUsed = now
		return
	}
	e.cached[key] = &cachedPart{tokens: tokens, lastUsed: now}
	e.cachedTokens += tokens
}

// evict removes the least recently used parts once the cached tokens exceed
// maxTokens, down to 90% of it.
func (e *engine) evict(maxTokens int) {
	if e.cachedTokens <= maxTokens {
		return
	}
	type row struct {
		key  uint64
		used time.Duration
	}
	rows := make([]row, 0, len(e.cached))
	for k, p := range e.cached {
		rows = append(rows, row{k, p.lastUsed})
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Or(cmp.Compare(a.used, b.used), cmp.Compare(a.key, b.key)) })
	for _, r := range rows {
		if e.cachedTokens <= maxTokens*9/10 {
			return
		}
		e.cachedTokens -= e.cached[r.key].tokens
		delete(e.cached, r.key)
	}
}
