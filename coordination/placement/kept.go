package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceroad/state/catalog"
)

// part is a piece of prompts that an engine is taken to keep.
type part struct {
	tokens int
	used   time.Duration
}

// chain returns a key for each part that names it and all before it.
func chain(parts []catalog.Part) []uint64 {
	d := xxhash.New()
	keys := make([]uint64, 0, len(parts))
	for _, p := range parts {
		_, _ = d.WriteString(p.ID + ":" + strconv.Itoa(p.Tokens) + ",")
		keys = append(keys, d.Sum64())
	}
	return keys
}

// keeps returns how many tokens of a prompt an engine keeps from its start.
func (e *engine) keeps(now time.Duration, o *Options, parts []catalog.Part, keys []uint64) int {
	n := 0
	for i, k := range keys {
		if !e.holds(now, o, parts[i], k) {
			break
		}
		n += parts[i].Tokens
	}
	return n
}

// holds reports whether an engine keeps a part: it ran a request with it
// lately, or said so itself.
func (e *engine) holds(now time.Duration, o *Options, p catalog.Part, key uint64) bool {
	if kept := e.kept[key]; kept != nil {
		return now-kept.used <= o.CacheTTL
	}
	return now-e.askedAt <= o.CacheReportTTL && e.listed[p.ID] >= p.Tokens
}

// Kept returns which engine of a service keeps most of a prompt; a leaving one
// may go before it is asked.
func (t *Table) LongestCachedPrefix(now time.Duration, service string, parts []catalog.Part) (most CachedPrefix) {
	keys := chain(parts)
	for _, e := range t.order[service] {
		if e.Leaving {
			continue
		}
		if n := e.keeps(now, &t.opts, parts, keys); n > most.Tokens {
			most = CachedPrefix{Address: e.Address, Tokens: n}
		}
	}
	return most
}

// Told takes in which parts an engine says that it keeps: what requests of an
// earlier owner left there.
func (t *Table) RecordCacheReport(now time.Duration, replica string, parts []catalog.Part) {
	e := t.engines[replica]
	if e == nil {
		return
	}
	e.listed = make(map[string]int, len(parts))
	for _, p := range parts {
		e.listed[p.ID] = p.Tokens
	}
	e.askedAt = now
}

func (e *engine) keep(now time.Duration, key uint64, tokens int) {
	if p := e.kept[key]; p != nil {
		p.used = now
		return
	}
	e.kept[key] = &part{tokens: tokens, used: now}
	e.tokens += tokens
}

// evict forgets the parts unused longest until the rest fits.
func (e *engine) evict(fits int) {
	if e.tokens <= fits {
		return
	}
	type row struct {
		key  uint64
		used time.Duration
	}
	rows := make([]row, 0, len(e.kept))
	for k, p := range e.kept {
		rows = append(rows, row{k, p.used})
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Or(cmp.Compare(a.used, b.used), cmp.Compare(a.key, b.key)) })
	for _, r := range rows {
		if e.tokens <= fits*9/10 {
			return
		}
		e.tokens -= e.kept[r.key].tokens
		delete(e.kept, r.key)
	}
}
