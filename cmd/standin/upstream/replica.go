package upstream

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/cmd/standin/work"
	"quinceroad/protocol/api"
	"quinceroad/transport/upstream"
)

const (
	fullBatchSlowdown = 0.15 // relative slowdown of each request in a full batch
	cacheHitSaving    = 0.25 // share of the time saved when the prefix is cached
	modelLoadTime     = 60 * time.Millisecond
)

// Fault is the fault injected into a replica, set by POST /fault.
type Fault struct {
	Replica        string  `json:"replica"`
	SlowFactor     float64 `json:"slow"`        // factor on the time in a slot; 0 and 1 have no effect
	Fail           bool    `json:"fail"`        // respond 500 after executing
	HangUp         bool    `json:"hang_up"`     // execute, then close the connection without a response
	WrongRequest   bool    `json:"cross"`       // respond with another request's id and output
	CutAfterTokens int     `json:"cut_at"`      // if above 0: cut a stream after this many tokens, other responses by half
	LateMS         int     `json:"late_ms"`     // delay of a whole response after executing
	Leaving        bool    `json:"leaving"`     // announce a drain in responses and in the platform's list
	RefuseWork     bool    `json:"refuse_work"` // respond 503 without executing
	Dead           bool    `json:"dead"`        // close the connection of every execute call without executing
}

// replica is a simulated replica with an address of its own; callers can't tell it from a
// separate process.
type replica struct {
	id          string
	hall        string
	addr        string
	incarnation uint64
	svc         *Service
	journal     *journal

	mu          sync.Mutex
	fault       Fault
	running     int
	waiting     waitHeap
	cache       *prefixCache
	fence       uint64
	model       string
	loadSamples []loadSample // by time; the first, LoadLagMS old, is the one reported
}

type loadSample struct {
	taken time.Time
	api.LoadReport
}

func (r *replica) registration() api.ListedReplica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return api.ListedReplica{
		ID: r.id, Service: r.svc.Name, Hall: r.hall, Address: r.addr,
		Incarnation: r.incarnation, Leaving: r.fault.Leaving, ChecksFences: r.svc.Fences,
	}
}

func (r *replica) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// ServeHTTP serves the upstream protocol.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/v1/execute":
		r.execute(w, q)
	case "/v1/load":
		r.setReplicaHeaders(w.Header(), r.currentFault())
		_ = json.NewEncoder(w).Encode(r.loadReport())
	case "/v1/orders":
		r.handleOrder(w, q)
	case "/v1/cache/events":
		after, _ := strconv.Atoi(q.URL.Query().Get("after"))
		_ = json.NewEncoder(w).Encode(r.cache.eventsAfter(after, time.Now()))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// handleOrder executes an order to load a model, which takes modelLoadTime. A replica
// that checks fences rejects it if it has accepted an order with a higher fencing token.
func (r *replica) handleOrder(w http.ResponseWriter, q *http.Request) {
	fence, _ := strconv.ParseUint(q.Header.Get(api.HeaderFence), 10, 64)
	var o api.Order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	accepted := !r.svc.Fences || fence >= r.fence
	if accepted {
		r.fence, r.model = fence, o.Model
	}
	r.mu.Unlock()
	r.journal.recordOrder(api.OrderRecord{Replica: r.id, Fence: fence, Model: o.Model, Obeyed: accepted, AtUS: time.Now().UnixMicro()})
	if !accepted {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	time.Sleep(modelLoadTime)
}

func (r *replica) loadReport() api.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.loadSamples = append(r.loadSamples, loadSample{now, api.LoadReport{ID: r.id, Running: r.running, Queued: r.waiting.Len()}})
	cutoff := now.Add(-time.Duration(r.svc.LoadLagMS) * time.Millisecond)
	for len(r.loadSamples) > 1 && !r.loadSamples[1].taken.After(cutoff) {
		r.loadSamples = r.loadSamples[1:]
	}
	return r.loadSamples[0].LoadReport
}

func (r *replica) execute(w http.ResponseWriter, q *http.Request) {
	f := r.currentFault()
	if f.Dead {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	for _, name := range []string{api.HeaderRequest, api.HeaderStage, api.HeaderAttempt, api.HeaderInputDigest} {
		h.Set(name, q.Header.Get(name))
	}
	r.setReplicaHeaders(h, f)
	if f.RefuseWork {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	input, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	priorityClass, _ := strconv.Atoi(q.Header.Get(api.HeaderPriority))
	if !r.acquireSlot(q.Context(), priorityClass) {
		return
	}
	defer r.releaseSlot()
	execution := r.journal.recordStart(r, q, input)
	defer r.journal.recordSlotFree(execution)
	if f.WrongRequest { // respond with the id and output of another request
		h.Set(api.HeaderRequest, "another")
		input = []byte("another")
	}
	if r.svc.Streams {
		r.streamTokens(w, q, f, input, execution)
		return
	}
	if !process.Sleep(q.Context(), r.slotTime(q, f, input)) {
		return
	}
	out := work.Output(q.Header.Get(api.HeaderOperation), input)
	r.journal.recordEnd(execution, out)
	r.respond(w, q, f, out)
}

// setReplicaHeaders sets the response headers with the replica's incarnation and its drain
// advisory.
func (r *replica) setReplicaHeaders(h http.Header, f Fault) {
	h.Set(api.HeaderIncarnation, strconv.FormatUint(r.incarnation, 10))
	if f.Leaving {
		h.Set(api.HeaderDraining, "1")
	}
}

// respond writes a whole response, subject to the replica's fault.
func (r *replica) respond(w http.ResponseWriter, q *http.Request, f Fault, out []byte) {
	process.Sleep(q.Context(), time.Duration(f.LateMS)*time.Millisecond)
	switch {
	case f.HangUp:
		panic(http.ErrAbortHandler)
	case f.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if f.CutAfterTokens > 0 {
		_, _ = w.Write(out[:len(out)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

// streamTokens sends the tokens from the requested offset on, one per interval of the slot
// time divided by the number of all tokens.
func (r *replica) streamTokens(w http.ResponseWriter, q *http.Request, f Fault, input []byte, execution int) {
	tokens := work.Tokens(input)
	offset, _ := strconv.Atoi(q.Header.Get(api.HeaderResumeOffset))
	tokenInterval := r.slotTime(q, f, input) / time.Duration(len(tokens))
	controller := http.NewResponseController(w)
	for i := min(offset, len(tokens)); i < len(tokens); i++ {
		if !process.Sleep(q.Context(), tokenInterval) {
			return
		}
		if f.CutAfterTokens > 0 && i >= f.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		b, _ := json.Marshal(api.Token{Text: tokens[i]})
		fmt.Fprintf(w, "data: %s\n\n", b)
		_ = controller.Flush()
	}
	out := work.Output(work.Generate, input)
	r.journal.recordEnd(execution, out)
	if f.HangUp {
		panic(http.ErrAbortHandler)
	}
	b, _ := json.Marshal(upstream.StreamEnd{Count: len(tokens), Digest: upstream.Digest(out)})
	fmt.Fprintf(w, "event: end\ndata: %s\n\n", b)
}

// slotTime returns how long a request holds a slot: its service time, extended in a full
// batch or on a slow replica and reduced when the prefix is cached.
func (r *replica) slotTime(q *http.Request, f Fault, input []byte) time.Duration {
	d := work.ServiceTime(r.svc.meanTime(), r.svc.Sigma, q.Header.Get(api.HeaderRequest), q.Header.Get(api.HeaderStage))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.svc.Streams {
		d += time.Duration(float64(d) * fullBatchSlowdown * float64(r.running) / float64(r.svc.Slots))
		if r.cache.lookupOrStore(string(input[:min(len(input), prefixBytes)]), time.Now()) {
			d -= time.Duration(float64(d) * cacheHitSaving)
		}
	}
	if f.SlowFactor > 1 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

// waiter is a request waiting for a slot.
type waiter struct {
	priorityClass int
	seq           int
	ready         chan struct{}
}

// acquireSlot waits for a slot in order of priority; it returns false if the caller
// cancels.
func (r *replica) acquireSlot(ctx context.Context, priorityClass int) bool {
	r.mu.Lock()
	if r.running < r.svc.Slots {
		r.running++
		r.mu.Unlock()
		return true
	}
	w := &waiter{priorityClass: priorityClass, ready: make(chan struct{})}
	heap.Push(&r.waiting, w)
	r.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	r.mu.Lock()
	removed := r.waiting.remove(w)
	r.mu.Unlock()
	if !removed { // the slot was granted meanwhile
		r.releaseSlot()
	}
	return false
}

func (r *replica) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting.Len() == 0 {
		r.running--
		return
	}
	close(heap.Pop(&r.waiting).(*waiter).ready)
}

type waitHeap struct {
	list []*waiter
	seq  int
}

func (h *waitHeap) Len() int { return len(h.list) }
func (h *waitHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.priorityClass < b.priorityClass || (a.priorityClass == b.priorityClass && a.seq < b.seq)
}
func (h *waitHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	h.seq++
	w.seq = h.seq
	h.list = append(h.list, w)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	w := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return w
}

func (h *waitHeap) remove(w *waiter) bool {
	for i, o := range h.list {
		if o == w {
			heap.Remove(h, i)
			return true
		}
	}
	return false
}
