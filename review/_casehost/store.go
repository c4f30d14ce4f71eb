package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{} // closed at each change
	revision uint64
	items    map[string]item
	leases   map[uint64]*time.Timer
	ttls     map[uint64]time.Duration
	granted  uint64
}

type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: ln.Addr().String(), changed: make(chan struct{}), items: make(map[string]item),
		leases: make(map[uint64]*time.Timer), ttls: make(map[uint64]time.Duration),
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()
	return s, nil
}

// put writes an item of the operator or a replica.
func (s *store) put(key string, value any) uint64 {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, data, 0, false)
}

// remove removes an item of the operator or a replica.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, nil, 0, true)
}

func (s *store) set(key string, value []byte, lease uint64, gone bool) uint64 {
	s.revision++
	x := item{Key: key, Value: value, Revision: s.revision, Made: s.revision, Lease: lease, Gone: gone}
	if old, ok := s.items[key]; ok && !old.Gone {
		x.Made = old.Made
	}
	s.items[key] = x
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.mu.Lock()
		x, ok := s.items[q.Get("private_key")]
		at := s.revision
		s.mu.Unlock()
		if !ok || x.Gone {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, struct {
			item
			At uint64 `json:"at"`
		}{x, at})
	case path == "/-/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("since_rev"))
	case path == "/-/kv-watch":
		since, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), since, time.Duration(wait)*time.Millisecond)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, idOf(path))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(idOf(path))
		s.mu.Unlock()
		answer(w, struct{}{})
	case path == "/-/kv-txn":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func idOf(path string) uint64 {
	id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	return id
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	out := []item{}
	for key, x := range s.items {
		if strings.HasPrefix(key, prefix) && key > after && !x.Gone {
			out = append(out, x)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	answer(w, map[string]any{"items": out[:min(len(out), 500)], "more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, since uint64, wait time.Duration) {
	timeout := time.After(wait)
	for isOver := wait <= 0; ; {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for key, x := range s.items {
			if strings.HasPrefix(key, prefix) && x.Revision > since {
				events = append(events, x)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			sort.Slice(events, func(i, j int) bool { return events[i].Revision < events[j].Revision })
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&ask)
	ttl := max(time.Duration(ask.TTL)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.granted++
	id := s.granted
	s.ttls[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})
	s.mu.Unlock()
	answer(w, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	timer, ok := s.leases[id]
	ttl := s.ttls[id]
	if ok {
		timer.Reset(ttl)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

// endLease ends a lease and removes its items. The caller holds mu.
func (s *store) endLease(id uint64) {
	timer, ok := s.leases[id]
	if !ok {
		return
	}
	timer.Stop()
	delete(s.leases, id)
	delete(s.ttls, id)
	for key, x := range s.items {
		if x.Lease == id && !x.Gone {
			s.set(key, nil, 0, true)
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []item   `json:"expected_rev"`
		Put      []item   `json:"put"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, isMet := []item{}, true
	for _, e := range txn.Expected {
		x := s.items[e.Key]
		revision := x.Revision
		if x.Gone {
			revision = 0
		}
		if revision != 0 {
			current = append(current, x)
		}
		isMet = isMet && revision == e.Revision
	}
	if !isMet {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range txn.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Put {
		s.set(p.Key, p.Value, p.Lease, false)
	}
	for _, key := range txn.Remove {
		if x, ok := s.items[key]; ok && !x.Gone {
			s.set(key, nil, 0, true)
		}
	}
	answer(w, map[string]any{"revision": s.revision})
}
