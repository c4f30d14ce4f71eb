package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is what a piece made: who it belongs to and its content.
type result struct {
	request  string
	stage    int
	segment  int
	content  string
	expires  time.Time
	producer *replica
}

// world holds what all replicas share: the results that lie at them.
type world struct {
	rec     *record
	mu      sync.Mutex
	results map[string]*result
	random  *rand.Rand
	stages  []stageDef // of the one staged route
	trouble bool
}

type stageDef struct {
	service string
	after   []int
	bytes   int
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

func (w *world) newHex(bytes int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := make([]byte, bytes)
	w.random.Read(b)
	return hex.EncodeToString(b)
}

func contentOf(parts ...string) string {
	h := sha256.Sum256([]byte(strings.Join(parts, "|")))
	return hex.EncodeToString(h[:6])
}

// replica is a stand-in for one replica: a pool's (batch > 0), an engine or a plain one.
type replica struct {
	w        *world
	id       string
	service  string
	zone     string
	addr     string
	ln       net.Listener
	slots    int
	queue    int
	engine   bool
	batch    int
	callTime time.Duration
	itemTime time.Duration
	room     int // results that it holds at most
	surplus  float64
	work     time.Duration // of a plain request
	closes   float64       // share of a plain replica's answers with Connection: close

	mu      sync.Mutex
	waiting int
	turn    chan struct{} // one token a slot
	conns   map[net.Conn]bool
	ended   bool
}

func (r *replica) start(ip string) error {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	r.ln, r.addr = ln, ln.Addr().String()
	r.turn = make(chan struct{}, r.slots)
	for range r.slots {
		r.turn <- struct{}{}
	}
	r.conns = make(map[net.Conn]bool)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return nil
}

// crash ends the replica without a word: its port, its connections and its results go.
func (r *replica) crash() {
	r.mu.Lock()
	r.ended = true
	_ = r.ln.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.w.mu.Lock()
	for h, x := range r.w.results {
		if x.producer == r {
			delete(r.w.results, h)
		}
	}
	r.w.mu.Unlock()
}

func (r *replica) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

func (r *replica) entry() map[string]any {
	return map[string]any{"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "warmup_left_ms": 0, "sequence": 1}
}

// head returns an answer with a length.
func head(status int, headers map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// serve serves the requests of one connection, one at a time.
func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late []byte // a surplus answer, sent where the next answer is due
	lateOf := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		var out []byte
		isRun, note := false, ""
		expected := req.Header.Get("Expect-Replica")
		switch {
		case expected != "" && expected != r.id:
			out = head(421, map[string]string{"Not-Executed": "1", "Replica-Id": r.id}, nil)
		case req.URL.Path == "/healthz":
			out = head(200, map[string]string{"Replica-Id": r.id}, nil)
		case req.URL.Path == "/-/report":
			out = r.report()
		case req.URL.Path == "/-/kv-list":
			out = head(200, map[string]string{"Content-Type": "application/json"}, []byte(`{"epoch":1,"next_token":1,"held":[]}`))
		case req.URL.Path == "/-/stage-free":
			out = r.free(body)
		case req.URL.Path == "/-/stage-run" && r.batch > 0:
			out, note = r.runPieces(body)
			isRun = note != ""
		case r.engine:
			if !r.stream(c, req, body) {
				return
			}
			continue
		default:
			out = r.plain(req, body)
		}
		if r.hasEnded() {
			return
		}
		if late != nil {
			r.w.rec.add("server %s: before its answer to %s %s it sends the surplus answer of %s", r.id, req.Method, req.URL.Path, lateOf)
			out, late = append(late, out...), nil
		}
		if _, err := c.Write(out); err != nil || bytes.Contains(out, []byte("\r\nConnection: close\r\n")) {
			return
		}
		if isRun && r.w.trouble && r.surplus > 0 && r.w.chance(r.surplus) {
			late, lateOf = append([]byte(nil), out...), note
		}
	}
}

func (r *replica) held() int {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	n := 0
	for h, x := range r.w.results {
		if time.Now().After(x.expires) {
			delete(r.w.results, h)
		} else if x.producer == r {
			n++
		}
	}
	return n
}

func (r *replica) report() []byte {
	r.mu.Lock()
	waiting := r.waiting
	r.mu.Unlock()
	busy := r.slots - len(r.turn)
	b, _ := json.Marshal(map[string]any{"queued": waiting, "busy": busy, "free_mb": float64(max(r.room-r.held(), 0)) * 0.06})
	return head(200, map[string]string{"Content-Type": "application/json"}, b)
}

func (r *replica) free(body []byte) []byte {
	var b struct {
		Handles []string `json:"handles"`
	}
	_ = json.Unmarshal(body, &b)
	r.w.mu.Lock()
	for _, h := range b.Handles {
		if x := r.w.results[h]; x != nil && x.producer == r {
			delete(r.w.results, h)
		}
	}
	r.w.mu.Unlock()
	return head(200, map[string]string{"Content-Type": "application/json"}, []byte("{}"))
}

type piece struct {
	ID      string   `json:"id"`
	Stage   int      `json:"stage"`
	Segment int      `json:"segment"`
	LeftMs  float64  `json:"remaining_ms"`
	Key     string   `json:"private_key"`
	Inputs  []string `json:"inputs"`
}

// runPieces runs one call of a stage's pieces.
func (r *replica) runPieces(body []byte) ([]byte, string) {
	var b struct {
		Items []piece `json:"items"`
	}
	if json.Unmarshal(body, &b) != nil || len(b.Items) > r.batch {
		return head(400, map[string]string{"Not-Executed": "1"}, nil), ""
	}
	r.mu.Lock()
	if r.waiting >= r.slots+r.queue {
		r.mu.Unlock()
		return head(503, map[string]string{"Not-Executed": "1", "Replica-Load": fmt.Sprintf("%d,%d,%d", r.slots, r.waiting, r.slots)}, nil), ""
	}
	r.waiting++
	r.mu.Unlock()
	arrived := time.Now()
	<-r.turn
	defer func() { r.turn <- struct{}{} }()
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
	type made struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	out := make([]made, len(b.Items))
	free := r.room - r.held()
	work := r.callTime
	var ids []string
	for i, p := range b.Items {
		ids = append(ids, fmt.Sprintf("%s/%d/%d", p.ID, p.Stage, p.Segment))
		if p.LeftMs > 0 && time.Since(arrived) > time.Duration(p.LeftMs)*time.Millisecond {
			out[i].Reason = "late"
			continue
		}
		if free <= 0 {
			out[i].Reason = "room"
			continue
		}
		content, ok := r.read(p.ID, p.Stage, p.Segment, p.Key, p.Inputs, r.w.stages[p.Stage].after)
		if !ok {
			out[i].Reason = "gone"
			continue
		}
		free--
		work += r.itemTime
		h := r.addr + "/" + r.w.newHex(6)
		r.w.mu.Lock()
		r.w.results[h] = &result{p.ID, p.Stage, p.Segment, content, time.Now().Add(time.Hour), r}
		r.w.mu.Unlock()
		out[i].Handle = h
	}
	time.Sleep(work)
	r.w.mu.Lock()
	for _, m := range out {
		if x := r.w.results[m.Handle]; x != nil {
			x.expires = time.Now().Add(4 * time.Second)
		}
	}
	r.w.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"items": out})
	note := fmt.Sprintf("stage-run of %d pieces (%s)", len(b.Items), strings.Join(ids, " "))
	r.w.rec.detail("server %s: %s", r.id, note)
	return head(200, map[string]string{"Content-Type": "application/json", "Replica-Load": r.load()}, data), note
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.slots-len(r.turn), r.waiting, r.slots)
}

// read fetches the inputs of a piece or of a request (stage -1) and checks whose they are. It
// returns false if one is gone.
func (r *replica) read(id string, stage, segment int, key string, inputs []string, after []int) (string, bool) {
	if len(after) == 0 {
		return contentOf("key", key, strconv.Itoa(stage), strconv.Itoa(segment)), true
	}
	what := fmt.Sprintf("piece %s/%d/%d", id, stage, segment)
	if stage < 0 {
		what = "request " + id
	}
	if len(inputs) == 0 || inputs[0] == "" {
		r.w.rec.note("no-inputs", "%s reaches server %s without inputs: %q", what, r.id, inputs)
	}
	seen := make(map[string]bool)
	contents := make(map[string]string)
	var order []string
	for _, h := range inputs {
		r.w.mu.Lock()
		x := r.w.results[h]
		ok := x != nil && time.Now().Before(x.expires) && !x.producer.hasEnded()
		r.w.mu.Unlock()
		if !ok {
			return "", false
		}
		allowed := false
		for _, a := range after {
			allowed = allowed || a == x.stage
		}
		if x.request != id || !allowed {
			r.w.rec.breakRule("MIXED: at server %s, %s reads %s, which is piece %d of stage %d of request %s", r.id, what, h, x.segment, x.stage, x.request)
		}
		if seen[h] {
			r.w.rec.breakRule("MIXED: at server %s, %s reads %s twice", r.id, what, h)
		}
		seen[h] = true
		k := fmt.Sprintf("%03d/%03d", x.stage, x.segment)
		if _, ok := contents[k]; !ok {
			order = append(order, k)
		}
		contents[k] = x.content
	}
	parts := []string{"inputs", strconv.Itoa(stage), strconv.Itoa(segment)}
	for _, k := range sorted(order) {
		parts = append(parts, contents[k])
	}
	return contentOf(parts...), true
}

// stream runs a request at an engine; it returns false if the connection has ended.
func (r *replica) stream(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Attempt-Id")
	r.mu.Lock()
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	var inputs []string
	if v := req.Header.Get("Inputs"); v != "" {
		inputs = strings.Split(v, ",")
	}
	content := "none"
	if r.w.stages != nil {
		if len(inputs) == 0 {
			_, err := c.Write(head(400, map[string]string{"Not-Executed": "1", "Attempt-Id": id}, nil))
			return err == nil
		}
		var ok bool
		if content, ok = r.read(id, -1, 0, "", inputs, sinks(r.w.stages)); !ok {
			_, err := c.Write(head(409, map[string]string{"Not-Executed": "1", "Attempt-Id": id}, nil))
			return err == nil
		}
	}
	r.w.rec.detail("server %s: runs %s (tenant %s)", r.id, id, req.Header.Get("Tenant"))
	r.w.rec.ran(r, id)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nReplica-Signature: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, contentOf(id, r.id)); err != nil {
		return false
	}
	time.Sleep(60 * time.Millisecond)
	const events = 6
	for n := 1; n <= events; n++ {
		data := fmt.Sprintf("token %d", n)
		if n == events {
			data = "answer " + contentOf(string(body), content)
		}
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (r *replica) plain(req *http.Request, body []byte) []byte {
	id := req.Header.Get("Attempt-Id")
	if id == "" {
		return head(400, map[string]string{"Not-Executed": "1"}, nil)
	}
	headers := map[string]string{"Attempt-Id": id}
	if r.closes > 0 && r.w.chance(r.closes) {
		headers["Connection"] = "close"
	}
	r.mu.Lock()
	if r.waiting >= r.slots+r.queue {
		r.mu.Unlock()
		headers["Not-Executed"] = "1"
		r.w.rec.add("server %s is full: 503, Not-Executed, to %s, Connection: %q", r.id, id, headers["Connection"])
		return head(503, headers, nil)
	}
	r.waiting++
	r.mu.Unlock()
	<-r.turn
	defer func() {
		r.turn <- struct{}{}
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	r.w.rec.ran(r, id)
	time.Sleep(r.work)
	headers["Replica-Signature"] = r.id + "." + contentOf(id, r.id)
	return head(200, headers, []byte("answer "+contentOf(string(body), id)))
}

// sinks returns the stages that no other comes after.
func sinks(stages []stageDef) []int {
	read := make(map[int]bool)
	for _, s := range stages {
		for _, a := range s.after {
			read[a] = true
		}
	}
	var out []int
	for i := range stages {
		if !read[i] {
			out = append(out, i)
		}
	}
	return out
}
