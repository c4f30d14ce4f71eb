package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"quinceroad/cmd/check"
	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
)

// Mix is one kind of request in a load.
type Mix struct {
	Customer string // its key is "key-" and this name, as in the examples
	Hall     string
	Pipeline string
	Share    float64
	Deadline time.Duration
	Stream   bool
	Ticketed bool
	Entries  []string // entries to use in turn, whatever the address answers say
}

// Phase is a time with one rate.
type Phase struct {
	Duration time.Duration
	Rate     float64 // requests a second
}

// Options describe one load.
type Options struct {
	Entries []string // entries to ask for addresses
	Mix     []Mix
	Phases  []Phase
	Seed    uint64
}

// Result is what a load brought.
type Result struct {
	Responses []check.Response
	Start     time.Time
}

// Run sends the load, open loop: each request goes out at its own time,
// whatever became of those before it, and its latency counts from there.
func Run(o Options) *Result {
	rnd := rand.New(rand.NewPCG(o.Seed, o.Seed))
	callers := make([]*Caller, len(o.Mix))
	total := 0.0
	for i, m := range o.Mix {
		callers[i] = NewCaller("key-"+m.Customer, m.Hall, o.Entries)
		_, _ = callers[i].Addresses()
		total += m.Share
	}
	res := &Result{Start: time.Now()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	at := res.Start
	n := 0
	for _, ph := range o.Phases {
		for end := at.Add(ph.Duration); ; n++ {
			at = at.Add(time.Duration(rnd.ExpFloat64() / ph.Rate * float64(time.Second)))
			if at.After(end) {
				at = end
				break
			}
			i := draw(o.Mix, rnd.Float64()*total)
			m := o.Mix[i]
			q := Request{
				Pipeline: m.Pipeline, Input: input(m, o.Seed, n, rnd), Deadline: m.Deadline,
				Stream: m.Stream, Ticketed: m.Ticketed, Intended: at,
				Label: fmt.Sprintf("s%d-%d", o.Seed, n),
			}
			if len(m.Entries) > 0 {
				q.Address = m.Entries[n%len(m.Entries)]
			}
			time.Sleep(time.Until(at))
			wg.Go(func() {
				t := callers[i].Do(q)
				t.Customer = m.Customer
				mu.Lock()
				defer mu.Unlock()
				res.Responses = append(res.Responses, t)
			})
		}
	}
	wg.Wait()
	return res
}

func draw(mix []Mix, x float64) int {
	for i, m := range mix {
		if x < m.Share {
			return i
		}
		x -= m.Share
	}
	return len(mix) - 1
}

// input is a text of its own per request, behind a prefix that many share.
func input(m Mix, seed uint64, n int, rnd *rand.Rand) string {
	return fmt.Sprintf("manual %02d of %s, as asked by %s: question %d/%d", rnd.IntN(20), m.Pipeline, m.Customer, seed, n)
}

// Summary is a load's figures.
type Summary struct {
	Sent       int
	InTime     int // done within the deadline
	Attainment float64
	ByOutcome  map[outcome.Kind]int
	P50, P99   time.Duration // of the whole ones, from the intended time
	Cost       float64       // units spent on answers that came
	StageTime  time.Duration // of the whole ones
	ByCustomer map[string]CustomerCounts
}

// Share is how many of a customer's requests were whole in time.
type CustomerCounts struct{ Sent, InTime int }

// Attainment is the share as a number.
func (s CustomerCounts) Attainment() float64 { return float64(s.InTime) / float64(max(s.Sent, 1)) }

// Whole reports whether the request was answered whole within its deadline.
func IsInTime(t *check.Response) bool {
	return t.Outcome == outcome.Done && t.Answered.Sub(t.Intended) <= t.Deadline
}

const (
	maxLatencyUS = 60_000_000
	digits       = 3
)

// Summarize works out a load's figures.
func (r *Result) Summarize() Summary {
	s := Summary{Sent: len(r.Responses), ByOutcome: make(map[outcome.Kind]int), ByCustomer: make(map[string]CustomerCounts)}
	h := hdr.New(1, maxLatencyUS, digits)
	for i := range r.Responses {
		t := &r.Responses[i]
		kind := t.Outcome
		if t.Status == 0 || kind == "" {
			kind = "no_answer"
		}
		s.ByOutcome[kind]++
		for _, st := range t.Stages {
			s.Cost += st.Cost
		}
		share := s.ByCustomer[t.Customer]
		share.Sent++
		if IsInTime(t) {
			share.InTime++
		}
		s.ByCustomer[t.Customer] = share
		if !IsInTime(t) {
			continue
		}
		s.InTime++
		_ = h.RecordValue(t.Answered.Sub(t.Intended).Microseconds()) // in range: a whole one is within its deadline
		for _, st := range t.Stages {
			s.StageTime += time.Duration(st.TimeMS * float64(time.Millisecond))
		}
	}
	s.Attainment = float64(s.InTime) / float64(max(s.Sent, 1))
	s.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	s.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return s
}

// String returns the figures in one line.
func (s Summary) String() string {
	return fmt.Sprintf("sent %d, whole in time %d (%.3f), p50 %s, p99 %s, outcomes %v, cost %.1f",
		s.Sent, s.InTime, s.Attainment, s.P50, s.P99, s.ByOutcome, s.Cost)
}

// Journal reads a stand-in upstream's journal from its control address.
func Journal(control string) ([]api.Execution, error) {
	resp, err := http.Get("http://" + control + "/journal")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out []api.Execution
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
