// Command standin plays one case of the review: it starts nodes of the project with the
// command of the deploy file, and stands in for the platform's store, the replicas and the
// clients. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	storeIP   = "127.78.9.1"
	serverIP  = "127.78.8.1"
	tenantKey = "9dnn2ctnfzs989anu6ws"
	tenant    = "bozi300"
	host      = "jepu9.example"
)

var zones = []string{"hall-a", "hall-b", "okahandja"}

// site is one run of a case.
type site struct {
	rec      *record
	w        *world
	st       *store
	nodes    []*node
	replicas []*replica
	dir      string
}

func main() {
	runtime.LockOSThread() // the nodes end with this thread
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	play, ok := map[string]func(*site) error{"surplus": playSurplus, "silent": playSilent, "full": playFull}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*site) error, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "quince-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	seed := time.Now().UnixNano()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("seed %d, disruption %v", seed, trouble)
	s := &site{rec: rec, st: newStore(), dir: dir, w: &world{rec: rec, results: make(map[string]*result), random: rand.New(rand.NewSource(seed)), trouble: trouble}}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		os.Exit(2)
	}()
	if err := play(s); err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for kind, n := range rec.notes {
		rec.line(fmt.Sprintf("in all %d of note %s", n, kind))
	}
	rec.line(fmt.Sprintf("in all %d breaks", len(rec.broken)))
	fmt.Printf("%d breaks of the rule, disruption %v\n", len(rec.broken), trouble)
	if len(rec.broken) > 0 {
		fmt.Println("first:", rec.broken[0])
		return 1
	}
	return 0
}

func (s *site) stop() {
	for _, n := range s.nodes {
		n.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range s.nodes {
			if b, err := os.ReadFile(filepath.Join(s.dir, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), b, 0o644)
			}
		}
	}
}

// begin starts the store with a configuration, and the nodes, and waits until all are ready.
func (s *site) begin(config map[string]any, nodes int) error {
	ln, err := net.Listen("tcp4", storeIP+":0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, s.st) }()
	for _, r := range s.replicas {
		s.st.put("servers/"+r.id, r.entry())
	}
	s.st.put("op/config", config)
	if s.nodes, err = newNodes(s.dir, ln.Addr().String(), zones, nodes); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.add("%d nodes are ready", len(s.nodes))
	time.Sleep(2 * time.Second)
	return nil
}

// addReplica starts a replica at an address of its own.
func (s *site) addReplica(r *replica) (*replica, error) {
	r.w = s.w
	r.id = "i-" + s.w.newHex(5)
	if err := r.start(serverIP); err != nil {
		return nil, err
	}
	s.replicas = append(s.replicas, r)
	s.rec.add("server %s of %s starts at %s in %s", r.id, r.service, r.addr, r.zone)
	return r, nil
}

// sent is a client's request.
type sent struct {
	id, key, body string
	segments      []int
	deadline      time.Duration
	apiKey        string
}

func (s *site) newRequest(segments []int, deadline time.Duration) *sent {
	return &sent{id: s.w.newHex(8), key: s.w.newHex(6), body: s.w.newHex(300), segments: segments, deadline: deadline, apiKey: tenantKey}
}

// expected is the content that the request's inputs have if every piece got its own inputs.
func (w *world) expected(q *sent) string {
	contents := make([][]string, len(w.stages))
	for n, st := range w.stages {
		for seg := range q.segments[n] {
			if len(st.after) == 0 {
				contents[n] = append(contents[n], contentOf("key", q.key, strconv.Itoa(n), strconv.Itoa(seg)))
				continue
			}
			parts := []string{"inputs", strconv.Itoa(n), strconv.Itoa(seg)}
			for _, a := range st.after {
				parts = append(parts, contents[a]...)
			}
			contents[n] = append(contents[n], contentOf(parts...))
		}
	}
	parts := []string{"inputs", "-1", "0"}
	for _, a := range sinks(w.stages) {
		parts = append(parts, contents[a]...)
	}
	return contentOf(parts...)
}

// client sends a request to a node on a new connection and reads the answer. It returns the
// status, 0 if there is no whole answer.
func (s *site) client(n *node, path string, q *sent) (status int, body string) {
	var counts []string
	for _, c := range q.segments {
		counts = append(counts, strconv.Itoa(c))
	}
	s.rec.add("client sends %s to %s, pieces %v", q.id, n.name, q.segments)
	c, err := net.DialTimeout("tcp4", n.front, time.Second)
	if err != nil {
		s.rec.add("client of %s: no connection", q.id)
		return 0, ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", path, q.id[:4], host, q.id, q.apiKey, q.deadline.Milliseconds(), len(q.body))
	if len(q.segments) > 0 {
		head += fmt.Sprintf("Segments: %s\r\nSegment-Key: %s\r\nModel: m\r\nToken-Count: 300,18\r\nPrompt-Prefix: 5c1e07a2:200,%s:100\r\n", strings.Join(counts, ","), q.key, q.id[:8])
	}
	if _, err := io.WriteString(c, head+"\r\n"+q.body); err != nil {
		return 0, ""
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.rec.add("client of %s: no answer: %v", q.id, err)
		return 0, ""
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		s.rec.add("client of %s: status %d, the answer breaks off: %v", q.id, r.StatusCode, err)
		return 0, string(b)
	}
	s.rec.add("client of %s: status %d, signature %q, last line %q", q.id, r.StatusCode, r.Header.Get("Replica-Signature"), lastLine(string(b)))
	return r.StatusCode, string(b)
}

func lastLine(body string) string {
	lines := strings.Split(strings.TrimSpace(body), "\n")
	return lines[len(lines)-1]
}

func poolService(name string, queue, batch int, callMs, itemMs, roomMB float64) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 610, "protocol": "h1", "tls": false,
		"segments": map[string]any{"slots": 1, "queue": queue, "batch": batch, "call_ms": callMs, "item_ms": itemMs, "headroom_mb": roomMB, "handle_s": 4.0, "bandwidth_mbps": 10000}}
}

// playSurplus: three pools and three engines as at kld-windhoek; part of the pools' replicas
// send, after some of their whole answers, a second one, late: where the next answer is due.
func playSurplus(s *site) error {
	const share, x = 0.6, 0.03 // of the replicas, and of their answers: the site's garble "extra late"
	s.w.stages = []stageDef{{"ledger", nil, 8000}, {"council", []int{0}, 60000}, {"field", []int{1}, 6000}}
	pool := func(service string, count, batch int, call, item float64, room int) error {
		for i := range count {
			r := &replica{service: service, zone: zones[i%len(zones)], slots: 1, queue: 2, batch: batch, room: room,
				callTime: time.Duration(call * float64(time.Millisecond)), itemTime: time.Duration(item * float64(time.Millisecond))}
			if i < int(share*float64(count)) {
				r.surplus = x
			}
			if _, err := s.addReplica(r); err != nil {
				return err
			}
		}
		return nil
	}
	if err := pool("ledger", 5, 8, 200, 21, 2000); err != nil {
		return err
	}
	if err := pool("council", 5, 22, 200, 7.8, 46); err != nil {
		return err
	}
	if err := pool("field", 5, 36, 200, 4.8, 78); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := s.addReplica(&replica{service: "scribe", zone: zones[i], slots: 128, engine: true}); err != nil {
			return err
		}
	}
	stages := []map[string]any{}
	for _, st := range s.w.stages {
		after := st.after
		if after == nil {
			after = []int{}
		}
		stages = append(stages, map[string]any{"service": st.service, "since_rev": after, "bytes": st.bytes})
	}
	config := map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "r-1", "host": host, "path_prefix": "/cufi501/", "route_kind": "stream", "timeout_ms": 8000, "target_latency_ms": 3600, "priority": 1,
			"service": "scribe", "max_attempts": 1, "stages": stages, "anonymous": false, "sticky": true, "resumable": false, "gap_target_ms": 500}},
		"services": []map[string]any{
			{"name": "scribe", "health_path": "/healthz", "max_conns": 610, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 128, "kv_capacity": 286093, "kv_bytes": 131072, "bandwidth_mbps": 130000.0, "moves": true, "backups": true, "stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}}}},
			poolService("ledger", 2, 8, 200, 21, 18), poolService("council", 2, 22, 200, 7.8, 2.8), poolService("field", 2, 36, 200, 4.8, 0.47),
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{tenantKey}, "priority": 1}},
	}
	if err := s.begin(config, 6); err != nil {
		return err
	}
	var served, wrong, other atomic.Int64
	var clients sync.WaitGroup
	const perSecond, length = 14, 88 * time.Second
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.w.mu.Lock()
		pause := time.Duration(s.w.random.ExpFloat64() / perSecond * float64(time.Second))
		n, fields := s.nodes[s.w.random.Intn(len(s.nodes))], 6+s.w.random.Intn(9)
		s.w.mu.Unlock()
		time.Sleep(pause)
		q := s.newRequest([]int{1, 6, fields}, 8*time.Second)
		clients.Go(func() {
			status, body := s.client(n, "/cufi501/", q)
			switch {
			case status != 200:
				other.Add(1)
			case lastLine(body) == "data: answer "+contentOf(q.body, s.w.expected(q)):
				served.Add(1)
			default:
				wrong.Add(1)
				s.rec.breakRule("MIXED: the client of %s gets, as a success, an answer on other inputs than its own", q.id)
			}
		})
	}
	clients.Wait()
	s.rec.add("clients: %d served, %d served with wrong data, %d not served", served.Load(), wrong.Load(), other.Load())
	fmt.Printf("clients: %d served, %d served with wrong data, %d not served\n", served.Load(), wrong.Load(), other.Load())
	if served.Load() < 100 {
		return fmt.Errorf("only %d requests were served", served.Load())
	}
	return nil
}
