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
	batchSlope = 0.15                  // a full batch makes each request this much slower
	cacheShare = 0.25                  // of the time saved when the prefix is cached
	loadTime   = 60 * time.Millisecond // to load a model
)

// Fault is what a replica does wrong; set by POST /fault.
type Fault struct {
	Replica        string  `json:"replica"`
	SlowFactor     float64 `json:"slow"`        // times slower; 0 and 1 are none
	Fail           bool    `json:"fail"`        // answer 500 after running
	HangUp         bool    `json:"hang_up"`     // run, then close without answering
	WrongRequest   bool    `json:"cross"`       // answer under another request's name
	CutAfterTokens int     `json:"cut_at"`      // close a stream after so many tokens
	LateMS         int     `json:"late_ms"`     // run, then answer so much later
	Leaving        bool    `json:"leaving"`     // say so in answers and in the list
	RefuseWork     bool    `json:"refuse_work"` // answer 503 without running
	Dead           bool    `json:"dead"`        // close every connection, run nothing
}

// replica is one process of a service, as far as callers can tell.
type replica struct {
	id          string
	hall        string
	addr        string
	incarnation uint64
	svc         *Service
	journal     *journal

	mu      sync.Mutex
	fault   Fault
	running int
	waiting waitHeap
	cache   *cache
	fence   uint64
	model   string
	reports []report // by time, the first is the one shown
}

type report struct {
	at time.Time
	api.LoadReport
}

func (r *replica) listed() api.Listed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return api.Listed{
		ID: r.id, Service: r.svc.Name, Hall: r.hall, Address: r.addr,
		Incarnation: r.incarnation, Leaving: r.fault.Leaving, ChecksFences: r.svc.Fences,
	}
}

func (r *replica) faults() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// ServeHTTP implements the protocol of upstreams.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/v1/execute":
		r.execute(w, q)
	case "/v1/load":
		r.identify(w.Header(), r.faults())
		_ = json.NewEncoder(w).Encode(r.load())
	case "/v1/orders":
		r.order(w, q)
	case "/v1/cache/events":
		after, _ := strconv.Atoi(q.URL.Query().Get("after"))
		_ = json.NewEncoder(w).Encode(r.cache.since(after, time.Now()))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// order obeys a fenced order unless a newer holder has given one; to load the
// model takes a while.
func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	fence, _ := strconv.ParseUint(q.Header.Get(api.HeaderFence), 10, 64)
	var o api.Order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	obey := !r.svc.Fences || fence >= r.fence
	if obey {
		r.fence, r.model = fence, o.Model
	}
	r.mu.Unlock()
	r.journal.order(api.Ordered{Replica: r.id, Fence: fence, Model: o.Model, Obeyed: obey, AtUS: time.Now().UnixMicro()})
	if !obey {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	time.Sleep(loadTime)
}

func (r *replica) load() api.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.reports = append(r.reports, report{now, api.LoadReport{ID: r.id, Running: r.running, Queued: r.waiting.Len()}})
	shown := now.Add(-time.Duration(r.svc.LoadLagMS) * time.Millisecond)
	for len(r.reports) > 1 && !r.reports[1].at.After(shown) {
		r.reports = r.reports[1:]
	}
	return r.reports[0].LoadReport
}

func (r *replica) execute(w http.ResponseWriter, q *http.Request) {
	f := r.faults()
	if f.Dead {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	for _, name := range []string{api.HeaderRequest, api.HeaderStage, api.HeaderAttempt, api.HeaderDigest} {
		h.Set(name, q.Header.Get(name))
	}
	r.identify(h, f)
	if f.RefuseWork {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	input, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	class, _ := strconv.Atoi(q.Header.Get(api.HeaderClass))
	if !r.enter(q.Context(), class) {
		return
	}
	defer r.leave()
	line := r.journal.start(r, q, input)
	defer r.journal.free(line)
	if f.WrongRequest { // what is answered from here on is another request's
		h.Set(api.HeaderRequest, "another")
		input = []byte("another")
	}
	if r.svc.Streams {
		r.stream(w, q, f, input, line)
		return
	}
	if !process.Sleep(q.Context(), r.duration(q, f, input)) {
		return
	}
	out := work.Output(q.Header.Get(api.HeaderOp), input)
	r.journal.end(line, out)
	r.answer(w, q, f, out)
}

// identify puts the replica's incarnation and its leaving into an answer.
func (r *replica) identify(h http.Header, f Fault) {
	h.Set(api.HeaderIncarnat, strconv.FormatUint(r.incarnation, 10))
	if f.Leaving {
		h.Set(api.HeaderLeaving, "1")
	}
}

// answer writes a whole body, or does the replica's fault.
func (r *replica) answer(w http.ResponseWriter, q *http.Request, f Fault, out []byte) {
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

// stream sends the tokens from the asked offset on, evenly over the duration.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, f Fault, input []byte, line int) {
	tokens := work.Tokens(input)
	offset, _ := strconv.Atoi(q.Header.Get(api.HeaderOffset))
	gap := r.duration(q, f, input) / time.Duration(len(tokens))
	flush := http.NewResponseController(w)
	for i := min(offset, len(tokens)); i < len(tokens); i++ {
		if !process.Sleep(q.Context(), gap) {
			return
		}
		if f.CutAfterTokens > 0 && i >= f.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		b, _ := json.Marshal(api.Token{Text: tokens[i]})
		fmt.Fprintf(w, "data: %s\n\n", b)
		_ = flush.Flush()
	}
	out := work.Output(work.Generate, input)
	r.journal.end(line, out)
	if f.HangUp {
		panic(http.ErrAbortHandler)
	}
	b, _ := json.Marshal(upstream.StreamEnd{Count: len(tokens), Digest: upstream.Digest(out)})
	fmt.Fprintf(w, "event: end\ndata: %s\n\n", b)
}

// duration is how long a slot is held: the request's own time, longer in a
// full batch or on a slow replica, shorter when the prefix is cached.
func (r *replica) duration(q *http.Request, f Fault, input []byte) time.Duration {
	d := work.ServiceTime(r.svc.mean(), r.svc.Sigma, q.Header.Get(api.HeaderRequest), q.Header.Get(api.HeaderStage))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.svc.Streams {
		d += time.Duration(float64(d) * batchSlope * float64(r.running) / float64(r.svc.Slots))
		if r.cache.use(string(input[:min(len(input), prefixBytes)]), time.Now()) {
			d -= time.Duration(float64(d) * cacheShare)
		}
	}
	if f.SlowFactor > 1 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

// waiter is a request that waits for a slot.
type waiter struct {
	class int
	seq   int
	ready chan struct{}
}

// enter waits for a slot by priority; false when the caller went away.
func (r *replica) enter(ctx context.Context, class int) bool {
	r.mu.Lock()
	if r.running < r.svc.Slots {
		r.running++
		r.mu.Unlock()
		return true
	}
	w := &waiter{class: class, ready: make(chan struct{})}
	heap.Push(&r.waiting, w)
	r.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	r.mu.Lock()
	gone := r.waiting.remove(w)
	r.mu.Unlock()
	if !gone { // the slot was given meanwhile
		r.leave()
	}
	return false
}

func (r *replica) leave() {
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
	return a.class < b.class || (a.class == b.class && a.seq < b.seq)
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
