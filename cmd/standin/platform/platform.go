// Package platform is a small stand-in for the platform's service: a key-value store
// with compare-and-swap, leases and watches, and a list of upstream replicas that may
// lag. It injects faults on command and counts every call, a watch as one.
package platform

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/protocol/api"
	"quinceroad/transport/web"
)

const maxValueBytes = 1 << 20 // a put of a longer value is rejected

// Faults are the faults that the stand-in injects, set by POST /fault.
type Faults struct {
	Down        bool `json:"down"`         // close the connection of every call without executing it
	SlowMS      int  `json:"slow_ms"`      // delay every call
	LoseAnswers int  `json:"lose_answers"` // execute this many next writes, but close the connection without a response
	Stale       bool `json:"stale"`        // reads return each key's previous value
	ListLagMS   int  `json:"list_lag_ms"`  // age of the list of replicas
}

// Stats counts the calls so far, and the watches that are waiting now. GET /stats returns
// it.
type Stats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Waiting int `json:"waiting"`
}

type entry struct {
	value, previous []byte
	version         uint64
	expires         time.Time // zero: without a lease
}

type replicaList struct {
	created  time.Time
	replicas map[string]api.ListedReplica
}

// Platform is the stand-in's state; its zero value is not usable.
type Platform struct {
	mu      sync.Mutex
	changed *sync.Cond
	entries map[string]*entry
	version uint64
	faults  Faults
	stats   Stats
	lists   []replicaList // by time; the first is the newest one that is older than the list's lag
}

// New returns a platform without keys, replicas and faults.
func New() *Platform {
	p := &Platform{entries: make(map[string]*entry)}
	p.changed = sync.NewCond(&p.mu)
	p.lists = []replicaList{{replicas: map[string]api.ListedReplica{}}}
	return p
}

// Handler serves the platform's protocol and the control calls of tests.
func (p *Platform) Handler(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/fault":
		p.setFaults(ctx)
		return
	case "/stats":
		p.mu.Lock()
		defer p.mu.Unlock()
		web.JSON(ctx, 200, p.stats)
		return
	case "/register":
		p.register(ctx)
		return
	}
	f := p.currentFaults()
	if f.Down {
		hangUp(ctx)
		return
	}
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	key := path[strings.LastIndex(path, "/v1/")+len("/v1/"):]
	switch {
	case strings.HasPrefix(key, "kv/") && ctx.IsGet():
		p.get(ctx, key[len("kv/"):])
	case strings.HasPrefix(key, "kv/") && ctx.IsPut():
		p.put(ctx, key[len("kv/"):])
	case strings.HasPrefix(key, "watch/"):
		p.watch(ctx, key[len("watch/"):])
	case key == "instances":
		p.listReplicas(ctx)
	default:
		ctx.SetStatusCode(404)
	}
}

func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	_ = ctx.Conn().Close()
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) setFaults(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), 400)
		return
	}
	p.faults = f
	p.changed.Broadcast()
	web.JSON(ctx, 200, f)
}

// live returns the key's entry unless its lease has expired; p.mu must be held.
func (p *Platform) live(key string) (*entry, bool) {
	r, ok := p.entries[key]
	if ok && !r.expires.IsZero() && time.Now().After(r.expires) {
		return nil, false
	}
	return r, ok
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	web.JSON(ctx, 200, p.read(key))
}

// read returns the key's value as readers get it, with faults; p.mu must be held.
func (p *Platform) read(key string) api.KV {
	e, ok := p.live(key)
	if !ok {
		return api.KV{}
	}
	if p.faults.Stale && e.previous != nil {
		return api.KV{Value: e.previous, Version: e.version - 1}
	}
	return api.KV{Value: e.value, Version: e.version}
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, key string) {
	var put api.KVPut
	if err := json.Unmarshal(ctx.PostBody(), &put); err != nil || len(put.Value) > maxValueBytes {
		ctx.Error("bad put", 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	e, ok := p.live(key)
	currentVersion := uint64(0)
	if ok {
		currentVersion = e.version
	}
	if currentVersion != put.IfVersion {
		web.JSON(ctx, 409, api.KV{Version: currentVersion})
		return
	}
	p.version += 2 // odd versions are left for stale reads
	next := &entry{value: put.Value, version: p.version}
	if ok {
		next.previous = e.value
	}
	if put.LeaseMS > 0 {
		next.expires = time.Now().Add(time.Duration(put.LeaseMS) * time.Millisecond)
	}
	p.entries[key] = next
	p.changed.Broadcast()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		hangUp(ctx)
		return
	}
	web.JSON(ctx, 200, api.KV{Version: p.version})
}

func (p *Platform) watch(ctx *fasthttp.RequestCtx, key string) {
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	deadline := time.Now().Add(wait)
	timer := time.AfterFunc(wait, p.changed.Broadcast)
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Watches++
	p.stats.Waiting++
	defer func() { p.stats.Waiting-- }()
	for p.read(key).Version <= after && time.Now().Before(deadline) && !p.faults.Down {
		p.changed.Wait()
	}
	if p.faults.Down {
		hangUp(ctx)
		return
	}
	web.JSON(ctx, 200, p.read(key))
}

// register adds replicas to the list, or replaces those listed under the same id.
func (p *Platform) register(ctx *fasthttp.RequestCtx) {
	var registered []api.ListedReplica
	if err := json.Unmarshal(ctx.PostBody(), &registered); err != nil {
		ctx.Error(err.Error(), 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := replicaList{created: time.Now(), replicas: make(map[string]api.ListedReplica)}
	for id, l := range p.lists[len(p.lists)-1].replicas {
		next.replicas[id] = l
	}
	for _, l := range registered {
		next.replicas[l.ID] = l
	}
	p.lists = append(p.lists, next)
	web.JSON(ctx, 200, len(next.replicas))
}

func (p *Platform) listReplicas(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	cutoff := time.Now().Add(-time.Duration(p.faults.ListLagMS) * time.Millisecond)
	for len(p.lists) > 1 && !p.lists[1].created.After(cutoff) {
		p.lists = p.lists[1:]
	}
	out := make([]api.ListedReplica, 0, len(p.lists[0].replicas))
	for _, l := range p.lists[0].replicas {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	web.JSON(ctx, 200, out)
}
