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

// journal records the executions and orders of all replicas of the process.
type journal struct {
	mu         sync.Mutex
	executions []api.Execution
	orders     []api.OrderRecord
}

func (j *journal) recordOrder(o api.OrderRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, o)
}

func (j *journal) recordStart(r *replica, q *http.Request, input []byte) int {
	attempt, _ := strconv.Atoi(q.Header.Get(api.HeaderAttempt))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions = append(j.executions, api.Execution{
		Replica: r.id, Service: r.svc.Name,
		Request: q.Header.Get(api.HeaderRequest), Stage: q.Header.Get(api.HeaderStage),
		Attempt: attempt, Op: q.Header.Get(api.HeaderOperation),
		Digest: upstream.Digest(input), StartUS: time.Now().UnixMicro(),
	})
	return len(j.executions) - 1
}

func (j *journal) recordEnd(execution int, out []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[execution].EndUS = time.Now().UnixMicro()
	j.executions[execution].Output = upstream.Digest(out)
}

// recordSlotFree records when an execution's slot was released, also if the execution was
// cancelled.
func (j *journal) recordSlotFree(execution int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[execution].FreeUS = time.Now().UnixMicro()
}

// Standin runs the replicas of all configured services in one process.
type Standin struct {
	config   *Config
	replicas map[string]*replica
	journal  *journal
	servers  []*http.Server
}

// New returns a stand-in for the settings; Start starts it.
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
					cache:       newPrefixCache(),
				}
				n++
			}
		}
	}
	return s
}

// Start listens on the addresses of all replicas and on the control address, and registers
// the replicas with the platform.
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
		all = append(all, r.registration())
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
	executions := append([]api.Execution(nil), s.journal.executions...)
	s.journal.mu.Unlock()
	_ = json.NewEncoder(w).Encode(executions)
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
	wasLeaving := r.fault.Leaving
	r.fault = f
	r.mu.Unlock()
	if wasLeaving != f.Leaving {
		if err := s.register([]api.ListedReplica{r.registration()}); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	}
}

// Stop closes all listeners and connections.
func (s *Standin) Stop() error {
	var errs []error
	for _, srv := range s.servers {
		errs = append(errs, srv.Close())
	}
	return errors.Join(errs...)
}
