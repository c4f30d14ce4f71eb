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

// Mix is one kind of request in a load and its share of the arrivals.
type Mix struct {
	Customer string // the API key is "key-" and this name, as in the examples
	Hall     string
	Pipeline string
	Share    float64 // relative to the sum of all shares of the load
	Deadline time.Duration
	Stream   bool
	Ticketed bool
	Entries  []string // entries to use in rotation instead of those in the address answers
}

// Phase is a period with a constant arrival rate.
type Phase struct {
	Duration time.Duration
	Rate     float64 // requests per second
}

// Options configure one load.
type Options struct {
	Entries []string // entries to ask for addresses
	Mix     []Mix
	Phases  []Phase
	Seed    uint64
}

// Result holds the responses to a load.
type Result struct {
	Responses []check.Response
	Start     time.Time
}

// Run sends the load, open loop: each request is sent at its intended time, whether or
// not earlier ones were answered, and its latency is measured from that time.
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
			i := drawMix(o.Mix, rnd.Float64()*total)
			m := o.Mix[i]
			q := Request{
				Pipeline: m.Pipeline, Input: newInput(m, o.Seed, n, rnd), Deadline: m.Deadline,
				Stream: m.Stream, Ticketed: m.Ticketed, Intended: at,
				Label: fmt.Sprintf("s%d-%d", o.Seed, n),
			}
			if len(m.Entries) > 0 {
				q.Address = m.Entries[n%len(m.Entries)]
			}
			time.Sleep(time.Until(at))
			wg.Go(func() {
				resp := callers[i].Do(q)
				resp.Customer = m.Customer
				mu.Lock()
				defer mu.Unlock()
				res.Responses = append(res.Responses, resp)
			})
		}
	}
	wg.Wait()
	return res
}

// drawMix returns the index of the mix that x falls into, by shares.
func drawMix(mix []Mix, x float64) int {
	for i, m := range mix {
		if x < m.Share {
			return i
		}
		x -= m.Share
	}
	return len(mix) - 1
}

// newInput returns an input that differs for each request after a prefix that many
// requests share.
func newInput(m Mix, seed uint64, n int, rnd *rand.Rand) string {
	return fmt.Sprintf("manual %02d of %s, as asked by %s: question %d/%d", rnd.IntN(20), m.Pipeline, m.Customer, seed, n)
}

// Summary holds a load's metrics.
type Summary struct {
	Sent       int
	InTime     int // done within the deadline
	Attainment float64
	ByOutcome  map[outcome.Kind]int
	P50, P99   time.Duration // latencies of requests done in time, from the intended time
	Cost       float64       // cost units of all stages reported in answers
	StageTime  time.Duration // total stage time of requests done in time
	ByCustomer map[string]CustomerCounts
}

// CustomerCounts counts a customer's requests and those done within their deadline.
type CustomerCounts struct{ Sent, InTime int }

// Attainment returns the fraction of requests done in time.
func (s CustomerCounts) Attainment() float64 { return float64(s.InTime) / float64(max(s.Sent, 1)) }

// IsInTime reports whether the request was done within its deadline.
func IsInTime(resp *check.Response) bool {
	return resp.Outcome == outcome.Done && resp.Answered.Sub(resp.Intended) <= resp.Deadline
}

const (
	maxLatencyUS      = 60_000_000
	significantDigits = 3
)

// Summarize computes a load's metrics.
func (r *Result) Summarize() Summary {
	s := Summary{Sent: len(r.Responses), ByOutcome: make(map[outcome.Kind]int), ByCustomer: make(map[string]CustomerCounts)}
	h := hdr.New(1, maxLatencyUS, significantDigits)
	for i := range r.Responses {
		resp := &r.Responses[i]
		kind := resp.Outcome
		if resp.Status == 0 || kind == "" {
			kind = "no_answer"
		}
		s.ByOutcome[kind]++
		for _, st := range resp.Stages {
			s.Cost += st.Cost
		}
		share := s.ByCustomer[resp.Customer]
		share.Sent++
		if IsInTime(resp) {
			share.InTime++
		}
		s.ByCustomer[resp.Customer] = share
		if !IsInTime(resp) {
			continue
		}
		s.InTime++
		// RecordValue can't fail: in time means within the deadline, which is in range.
		_ = h.RecordValue(resp.Answered.Sub(resp.Intended).Microseconds())
		for _, st := range resp.Stages {
			s.StageTime += time.Duration(st.TimeMS * float64(time.Millisecond))
		}
	}
	s.Attainment = float64(s.InTime) / float64(max(s.Sent, 1))
	s.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	s.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return s
}

// String returns the metrics in one line.
func (s Summary) String() string {
	return fmt.Sprintf("sent %d, done in time %d (%.3f), p50 %s, p99 %s, outcomes %v, cost %.1f",
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
