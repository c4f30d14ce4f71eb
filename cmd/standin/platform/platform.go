// Package platform is a small stand-in of the platform's service: a key-value
// store with compare-and-swap, leases and watches, a lagging list of upstream
// replicas, and its faults on command. It counts every call, a waiting watch
// as one.
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

const maxValue = 1 << 20

// Faults are what the stand-in does wrong; set by POST /fault.
type Faults struct {
	Down        bool `json:"down"`         // close every call unanswered, do nothing
	SlowMS      int  `json:"slow_ms"`      // delay every call
	LoseAnswers int  `json:"lose_answers"` // do the next writes, close without answering
	Stale       bool `json:"stale"`        // answer reads with each key's previous value
	ListLagMS   int  `json:"list_lag_ms"`  // age of the list of replicas
}

// Stats are the calls so far; GET /stats.
type Stats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Waiting int `json:"waiting"`
}

type row struct {
	value, before []byte
	version       uint64
	lapses        time.Time // zero: never
}

type listing struct {
	at  time.Time
	all map[string]api.ListedReplica
}

// Platform is the stand-in's state.
type Platform struct {
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]*row
	version uint64
	faults  Faults
	stats   Stats
	lists   []listing // by time; the first is the newest one old enough to be shown
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{rows: make(map[string]*row)}
	p.changed = sync.NewCond(&p.mu)
	p.lists = []listing{{all: map[string]api.ListedReplica{}}}
	return p
}

// Handler serves the platform's protocol and the control calls.
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
	f := p.now()
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
		p.instances(ctx)
	default:
		ctx.SetStatusCode(404)
	}
}

func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	_ = ctx.Conn().Close()
}

func (p *Platform) now() Faults {
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

// live returns the key's row unless its lease has lapsed; p.mu is held.
func (p *Platform) live(key string) (*row, bool) {
	r, ok := p.rows[key]
	if ok && !r.lapses.IsZero() && time.Now().After(r.lapses) {
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

// read returns what a reader sees of the key; p.mu is held.
func (p *Platform) read(key string) api.KV {
	r, ok := p.live(key)
	if !ok {
		return api.KV{}
	}
	if p.faults.Stale && r.before != nil {
		return api.KV{Value: r.before, Version: r.version - 1}
	}
	return api.KV{Value: r.value, Version: r.version}
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, key string) {
	var put api.KVPut
	if err := json.Unmarshal(ctx.PostBody(), &put); err != nil || len(put.Value) > maxValue {
		ctx.Error("bad put", 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	r, ok := p.live(key)
	have := uint64(0)
	if ok {
		have = r.version
	}
	if have != put.IfVersion {
		web.JSON(ctx, 409, api.KV{Version: have})
		return
	}
	p.version += 2 // odd versions are stale reads'
	next := &row{value: put.Value, version: p.version}
	if ok {
		next.before = r.value
	}
	if put.LeaseMS > 0 {
		next.lapses = time.Now().Add(time.Duration(put.LeaseMS) * time.Millisecond)
	}
	p.rows[key] = next
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
	until := time.Now().Add(wait)
	wake := time.AfterFunc(wait, p.changed.Broadcast)
	defer wake.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Watches++
	p.stats.Waiting++
	defer func() { p.stats.Waiting-- }()
	for p.read(key).Version <= after && time.Now().Before(until) && !p.faults.Down {
		p.changed.Wait()
	}
	if p.faults.Down {
		hangUp(ctx)
		return
	}
	web.JSON(ctx, 200, p.read(key))
}

// register puts one replica into the list: what the platform knows of it itself.
func (p *Platform) register(ctx *fasthttp.RequestCtx) {
	var in []api.ListedReplica
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := listing{at: time.Now(), all: make(map[string]api.ListedReplica)}
	for id, l := range p.lists[len(p.lists)-1].all {
		next.all[id] = l
	}
	for _, l := range in {
		next.all[l.ID] = l
	}
	p.lists = append(p.lists, next)
	web.JSON(ctx, 200, len(next.all))
}

func (p *Platform) instances(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	shown := time.Now().Add(-time.Duration(p.faults.ListLagMS) * time.Millisecond)
	for len(p.lists) > 1 && !p.lists[1].at.After(shown) {
		p.lists = p.lists[1:]
	}
	out := make([]api.ListedReplica, 0, len(p.lists[0].all))
	for _, l := range p.lists[0].all {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	web.JSON(ctx, 200, out)
}
