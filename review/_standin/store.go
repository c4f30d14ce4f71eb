package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"private_key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made"`
	Lease    uint64 `json:"lease"`
}

// change is one event of a watch.
type change struct {
	Key      string  `json:"private_key"`
	Value    *string `json:"value,omitempty"`
	Revision uint64  `json:"revision"`
	Made     uint64  `json:"made,omitempty"`
	Lease    uint64  `json:"lease,omitempty"`
	Gone     bool    `json:"gone,omitempty"`
}

// store is a sound stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]*item
	history  []change
	revision uint64
	changed  chan struct{}
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
	nextID   uint64
	silent   chan struct{} // closed when the connections on which a watch waits go silent
}

// silence makes all connections on which a watch waits silent for good, without a reset. New
// connections, and those on which no call waits, work on.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{})
}

func newStore() *store {
	s := &store{items: make(map[string]*item), revision: 100, changed: make(chan struct{}), leases: make(map[uint64]time.Time), ttls: make(map[uint64]time.Duration), nextID: 1000, silent: make(chan struct{})}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys; the caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.removeLocked(k)
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putLocked(key string, value string, lease uint64) {
	s.revision++
	made := s.revision
	if old := s.items[key]; old != nil {
		made = old.Made
	}
	s.items[key] = &item{key, value, s.revision, made, lease}
	s.history = append(s.history, change{Key: key, Value: &value, Revision: s.revision, Made: made, Lease: lease})
	s.wake()
}

func (s *store) removeLocked(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, change{Key: key, Revision: s.revision, Gone: true})
	s.wake()
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, base64.StdEncoding.EncodeToString(b), 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/-/kv-key":
		s.mu.Lock()
		i, at := s.items[q.Get("private_key")], s.revision
		s.mu.Unlock()
		if i == nil {
			answer(w, 404, map[string]any{"at": at})
			return
		}
		answer(w, 200, map[string]any{"private_key": i.Key, "value": i.Value, "revision": i.Revision, "made": i.Made, "lease": i.Lease, "at": at})
	case r.URL.Path == "/-/kv-range":
		s.rangeOf(w, q.Get("path_prefix"), q.Get("since_rev"))
	case r.URL.Path == "/-/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/-/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/-/kv-lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id], s.ttls[id] = time.Now().Add(ttl), ttl
		s.mu.Unlock()
		answer(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/-/kv-keep/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.leases[id] = time.Now().Add(s.ttls[id])
		}
		ttl := s.ttls[id]
		s.mu.Unlock()
		if !ok {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, map[string]any{"ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, 200, map[string]any{})
	default:
		answer(w, 404, map[string]any{})
	}
}

func (s *store) rangeOf(w http.ResponseWriter, prefix, after string) {
	const page = 500
	s.mu.Lock()
	var out []*item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			c := *i
			out = append(out, &c)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > page
	out = append([]*item{}, out[:min(len(out), page)]...)
	answer(w, 200, map[string]any{"items": out, "more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	for {
		s.mu.Lock()
		out := []change{}
		for _, c := range s.history {
			if c.Revision > since && strings.HasPrefix(c.Key, q.Get("path_prefix")) {
				out = append(out, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || wait == 0 {
			answer(w, 200, map[string]any{"events": out, "at": at})
			return
		}
		select {
		case <-silent:
			<-r.Context().Done() // no answer and no close; the caller gives up
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-timer.C:
			answer(w, 200, map[string]any{"events": out, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Expected []struct {
			Key      string `json:"private_key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Put []struct {
			Key   string `json:"private_key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []*item{}, true
	for _, e := range b.Expected {
		have := uint64(0)
		if i := s.items[e.Key]; i != nil {
			have = i.Revision
			current = append(current, i)
		}
		holds = holds && have == e.Revision
	}
	if !holds {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range b.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, map[string]any{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, 404, map[string]any{})
			return
		}
	}
	for _, p := range b.Put {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, k := range b.Remove {
		s.removeLocked(k)
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}
