package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quinceroad/protocol/api"
	"quinceroad/transport/upstream"
)

// journal is the list of executions, shared by all replicas of the process.
type journal struct {
	mu     sync.Mutex
	lines  []api.Execution
	orders []api.OrderRecord
}

func (j *journal) order(o api.OrderRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, o)
}

func (j *journal) start(r *replica, q *http.Request, input []byte) int {
	attempt, _ := strconv.Atoi(q.Header.Get(api.HeaderAttempt))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, api.Execution{
		Replica: r.id, Service: r.svc.Name,
		Request: q.Header.Get(api.HeaderRequest), Stage: q.Header.Get(api.HeaderStage),
		Attempt: attempt, Op: q.Header.Get(api.HeaderOperation),
		Digest: upstream.Digest(input), StartUS: time.Now().UnixMicro(),
	})
	return len(j.lines) - 1
}

func (j *journal) end(line int, out []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines[line].EndUS = time.Now().UnixMicro()
	j.lines[line].Output = upstream.Digest(out)
}

// free notes when a slot was free again, also of a cancelled execution.
func (j *journal) free(line int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines[line].FreeUS = time.Now().UnixMicro()
}

// Standin is all replicas of one process.
type Standin struct {
	config   *Config
	replicas map[string]*replica
	journal  *journal
	servers  []*http.Server
}

// New returns the stand-in of a settings file.
func New(c *Config) *Standin {
	s := &Standin{config: c, replicas: make(map[string]*replica), journal: &journal{}}
	for i := range c.Services {
		svc := &c.Services[i]
		n := 0
		for _, h := range svc.Halls {
			for range h.Replicas {
				id := fmt.Sprintf("%s-%d", svc.Name, n)
				s.replicas[id] = &replica{
					id: id, hall: h.Name, svc: svc, journal: s.journal,
					addr:        net.JoinHostPort(c.Host, strconv.Itoa(svc.FirstPort+n)),
					incarnation: uint64(time.Now().UnixNano()),
					cache:       newCache(),
				}
				n++
			}
		}
	}
	return s
}

// Start listens for all replicas and registers them with the platform.
func (s *Standin) Start() error {
	for _, r := range s.replicas {
		if err := s.listen(r.addr, r); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/journal", s.serveJournal)
	mux.HandleFunc("/orders", s.serveOrders)
	mux.HandleFunc("/fault", s.serveFault)
	if err := s.listen(s.config.Control, mux); err != nil {
		return err
	}
	all := make([]api.ListedReplica, 0, len(s.replicas))
	for _, r := range s.replicas {
		all = append(all, r.listed())
	}
	return s.register(all)
}

func (s *Standin) listen(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return nil
}

func (s *Standin) register(l []api.ListedReplica) error {
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.config.Platform+"/register", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (s *Standin) serveJournal(w http.ResponseWriter, q *http.Request) {
	s.journal.mu.Lock()
	lines := append([]api.Execution(nil), s.journal.lines...)
	s.journal.mu.Unlock()
	_ = json.NewEncoder(w).Encode(lines)
}

func (s *Standin) serveOrders(w http.ResponseWriter, _ *http.Request) {
	s.journal.mu.Lock()
	orders := append([]api.OrderRecord(nil), s.journal.orders...)
	s.journal.mu.Unlock()
	_ = json.NewEncoder(w).Encode(orders)
}

func (s *Standin) serveFault(w http.ResponseWriter, q *http.Request) {
	var f Fault
	if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r, ok := s.replicas[f.Replica]
	if !ok {
		http.Error(w, "no such replica", http.StatusNotFound)
		return
	}
	r.mu.Lock()
	was := r.fault.Leaving
	r.fault = f
	r.mu.Unlock()
	if was != f.Leaving {
		if err := s.register([]api.ListedReplica{r.listed()}); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	}
}

// Stop ends all listeners.
func (s *Standin) Stop() error {
	var errs []error
	for _, srv := range s.servers {
		errs = append(errs, srv.Close())
	}
	return errors.Join(errs...)
}
