package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a replica. It answers as the pages say, and records what it runs.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	version string
	slots   int
	address string
	work    func(w http.ResponseWriter, r *http.Request, body []byte) // answers a request, after its head's own fields are set

	mu       sync.Mutex
	runs     map[string]run // by Attempt-Id
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	ended    bool
	active   int
}

// run is a request that the server has run.
type run struct {
	server string
	path   string
	at     time.Time
	end    time.Time // zero: it is at work
	body   int       // bytes
}

// addServer starts a server and keeps its entry in the store.
func (d *deployment) addServer(id, service, zone string, slots int, work func(w http.ResponseWriter, r *http.Request, body []byte)) (*server, error) {
	ln, err := net.Listen("tcp4", "127.0.8.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, service: service, zone: zone, version: "v1", slots: slots, address: ln.Addr().String(), work: work, runs: make(map[string]run), listener: ln, conns: make(map[net.Conn]bool)}
	d.addToServers(s)
	go func() { _ = (&http.Server{Handler: s, ConnState: s.track}).Serve(ln) }()
	go func() {
		for s.beat("ready") {
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return s, nil
}

func (d *deployment) addToServers(s *server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, s)
}

// allServers returns the servers that run or have run.
func (d *deployment) allServers() []*server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.servers)
}

// hasEnded reports whether the server has crashed.
func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// track holds the open connections.
func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// crash ends the server at once. Its entry goes after three heartbeats of silence.
func (s *server) crash() {
	s.mu.Lock()
	s.ended = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	running := s.active
	s.mu.Unlock()
	s.d.record.add("%s crashes, with %d requests running", s.id, running)
	time.AfterFunc(3600*time.Millisecond, func() { s.d.store.remove("servers/" + s.id) })
}

// advertise has the server's entry give another address.
func (s *server) advertise(address string) {
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	s.beat("ready")
}

// beat writes the server's entry, and reports whether the server runs.
func (s *server) beat(state string) bool {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return false
	}
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state, "warmup_left_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": s.sequence,
	}
	s.mu.Unlock()
	s.d.store.put("servers/"+s.id, entry)
	return true
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	if expected := r.Header.Get("Expect-Replica"); expected != "" && expected != s.id {
		w.Header().Set("Replica-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Replica-Id", s.id)
		return
	case "/-/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1,
			"queued": 0, "active": 0, "kv_used": 0, "kv_total": 286093, "handles": 0,
		})
		return
	case "/-/kv-list":
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next_token": 1, "held": []any{}})
		return
	case "/-/kv-events":
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next_token": 1, "lost": false, "events": []any{}})
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[id] = run{path: r.RequestURI, at: time.Now(), body: len(body)}
	s.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		x := s.runs[id]
		x.end = time.Now()
		s.runs[id] = x
		s.mu.Unlock()
	}()
	s.d.record.add("%s (%s) runs %s: %s %s, %d bytes", s.id, s.service, id, r.Method, r.RequestURI, len(body))
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Signature", "3e1b."+s.id+"."+id)
	s.work(w, r, body)
}

// ran returns what the server has run of a request.
func (s *server) ran(id string) (run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.runs[id]
	return x, ok
}

// plain answers at once.
func plain(w http.ResponseWriter, _ *http.Request, _ []byte) {
	_, _ = io.WriteString(w, "done\n")
}

// events answers with a stream: the first event after a while, then others at an interval.
func events(first, interval time.Duration, count int) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		wait := first
		for i := from + 1; i <= count; i++ {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
			wait = interval
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}
