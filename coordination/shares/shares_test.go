package shares

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// simulation sends requests of customers for one resource at constant rates. Its run
// method returns the fraction of requests within their shares, by customer and rank.
type simulation struct {
	allocator *Allocator
	now       time.Duration
	needs     []Need
	reported  map[string]UsageReport
}

func newSimulation(work, capacity float64) *simulation {
	return &simulation{allocator: New(DefaultOptions()), needs: []Need{{Resource: "pool", Work: work, Capacity: capacity}}}
}

// traffic is the request rate of a customer at one rank.
type traffic struct {
	customer  string
	rank      int
	perSecond float64
}

func (p *simulation) run(d time.Duration, all ...traffic) map[string]float64 {
	const step = 10 * ms
	sent, within := make(map[string]float64), make(map[string]float64)
	due := make([]float64, len(all))
	for end := p.now + d; p.now < end; p.now += step {
		for i, a := range all {
			for due[i] += a.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				key := fmt.Sprint(a.customer, a.rank)
				sent[key]++
				if p.allocator.RecordDemand(p.now, a.customer, a.rank, p.reported[a.customer], p.needs).Within {
					within[key]++
					p.allocator.RecordServed(a.customer, a.rank, p.needs)
				}
			}
		}
	}
	for key := range sent {
		within[key] /= sent[key]
	}
	return within
}

func TestASingleCustomerIsNotThrottled(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	is.Equal(p.run(10*time.Second, traffic{"a", 0, 500})["a0"], 1.0)
}

func TestAFloodIsThrottledToTheExcessCapacity(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5) // 50 requests per second
	p.run(5*time.Second, traffic{"a", 0, 15}, traffic{"b", 0, 10}, traffic{"c", 0, 5})
	p.run(time.Second, traffic{"a", 0, 135}, traffic{"b", 0, 10}, traffic{"c", 0, 5})
	got := p.run(8*time.Second, traffic{"a", 0, 135}, traffic{"b", 0, 10}, traffic{"c", 0, 5})
	is.Equal(got["b0"], 1.0)
	is.Equal(got["c0"], 1.0)
	is.True(math.Abs(got["a0"]*135-35) < 5) // gets all that b and c leave
}

func TestNobodyIsThrottledWhenAllSendMore(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.run(5*time.Second, traffic{"a", 0, 20}, traffic{"b", 0, 10}, traffic{"c", 0, 5})
	got := p.run(8*time.Second, traffic{"a", 0, 80}, traffic{"b", 0, 40}, traffic{"c", 0, 20})
	is.Equal(got["a0"], 1.0)
	is.Equal(got["b0"], 1.0)
}

// Requests from older builds and on routes without authentication carry no customer.
// They belong to many customers and are not throttled.
func TestAnonymousRequestsAreNotThrottled(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.run(2*time.Second, traffic{"a", 0, 10}, traffic{"b", 0, 10})
	got := p.run(5*time.Second, traffic{"", 0, 100}, traffic{"a", 0, 10}, traffic{"b", 0, 10})
	is.Equal(got["0"], 1.0)
	is.Equal(got["a0"], 1.0)
}

func TestTwoFloodsAreThrottled(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.run(5*time.Second, traffic{"a", 0, 15}, traffic{"b", 0, 5}, traffic{"c", 0, 8})
	p.run(time.Second, traffic{"a", 0, 135}, traffic{"b", 0, 45}, traffic{"c", 0, 8})
	got := p.run(8*time.Second, traffic{"a", 0, 135}, traffic{"b", 0, 45}, traffic{"c", 0, 8})
	is.Equal(got["c0"], 1.0)
	is.True(got["a0"] < 0.3)
	is.True(got["b0"] < 0.6)
	is.True(got["b0"]*45 > 10) // it gets at least an equal part
}

func TestUrgentRequestsOfACustomerGoFirst(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.run(5*time.Second, traffic{"a", 0, 10}, traffic{"a", 1, 10}, traffic{"b", 5, 10})
	p.run(2*time.Second, traffic{"a", 0, 30}, traffic{"a", 1, 100}, traffic{"b", 5, 10})
	got := p.run(8*time.Second, traffic{"a", 0, 30}, traffic{"a", 1, 100}, traffic{"b", 5, 10})
	is.Equal(got["a0"], 1.0)
	is.True(math.Abs(got["a1"]*100-10) < 4)
	is.Equal(got["b5"], 1.0) // less urgent, but within its share
}

// Two seconds after a flood, the customer's usual load is within its share again, its
// less urgent requests included.
func TestAThrottleEndsSoonAfterTheFlood(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	usual := []traffic{{"a", 0, 10}, {"a", 1, 5}, {"b", 0, 10}}
	p.run(5*time.Second, usual...)
	p.run(8*time.Second, traffic{"a", 0, 90}, traffic{"a", 1, 45}, traffic{"b", 0, 10})
	p.run(2*time.Second, usual...)
	got := p.run(time.Second, usual...)
	is.Equal(got["a0"], 1.0)
	is.Equal(got["a1"], 1.0)
}

// A flood of a minute does not become the usual load: once the others demand more, the
// flooding customer is throttled to about what it used before.
func TestALongFloodDoesNotRaiseTheShare(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 6) // 60 requests per second
	load := func(flood, others float64) []traffic {
		all := []traffic{{"a", 0, flood}}
		for i := range 39 {
			all = append(all, traffic{fmt.Sprint("b", i), 0, others})
		}
		return all
	}
	p.run(10*time.Second, load(10, 1)...)
	p.run(time.Minute, load(300, 1)...)
	p.run(2*time.Second, load(300, 2)...)
	got := p.run(10*time.Second, load(300, 2)...)
	is.True(got["a0"]*300 < 1.25*10)
	is.Equal(got["b00"], 1.0)
}

// A new owner throttles a flood within the first second, using the reports of the
// instances that accept requests.
func TestANewAllocatorThrottlesAFloodAtOnce(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.reported = map[string]UsageReport{"a": {0.5, 600}, "b": {0.35, 600}, "c": {0.15, 600}}
	all := []traffic{{"a", 0, 135}, {"b", 0, 10}, {"c", 0, 5}}
	first := p.run(time.Second, all...)
	is.Equal(first["b0"], 1.0)
	is.Equal(first["c0"], 1.0)
	is.True(first["a0"]*135 < 2*35) // at most one additional second of its share
	then := p.run(5*time.Second, all...)
	is.Equal(then["b0"], 1.0)
	is.True(math.Abs(then["a0"]*135-35) < 5)
}

// After a restart of all instances no usage is known, and a large customer must not be
// mistaken for a flood.
func TestNobodyIsThrottledWithoutUsageData(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.reported = map[string]UsageReport{"a": {1, 3}} // covers too few requests to count
	got := p.run(8*time.Second, traffic{"a", 0, 60}, traffic{"b", 0, 10}, traffic{"c", 0, 5}, traffic{"d", 0, 5})
	is.Equal(got["a0"], 1.0)
	is.Equal(got["b0"], 1.0)
}

func TestUnusedSharesDoNotAccumulate(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.run(time.Minute, traffic{"a", 0, 0.1}, traffic{"b", 0, 20})
	p.run(500*ms, traffic{"a", 0, 400}, traffic{"b", 0, 20})
	got := p.run(4*time.Second, traffic{"a", 0, 400}, traffic{"b", 0, 20})
	is.Equal(got["b0"], 1.0)
	is.True(math.Abs(got["a0"]*400-30) < 10)
}

func TestThrottlingEndsWithoutDemand(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.1, 5)
	p.run(5*time.Second, traffic{"a", 0, 15}, traffic{"b", 0, 10})
	p.run(5*time.Second, traffic{"a", 0, 450}, traffic{"b", 0, 10})
	is.True(p.allocator.Throttled(p.now, "pool")["a"] > 0)
	is.Equal(len(p.allocator.Throttled(p.now+20*time.Second, "pool")), 0)
	is.Equal(len(p.allocator.Throttled(0, "another")), 0)
}

// Inactive customers use no memory.
func TestInactiveCustomersAreRemoved(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0.01, 5)
	for i := range 5400 {
		p.allocator.RecordDemand(time.Duration(i)*100*time.Microsecond, fmt.Sprint("customer-", i), 0, UsageReport{}, p.needs)
	}
	is.Equal(len(p.allocator.resources["pool"].flows), 5400)
	for range 100 {
		p.now += 10 * time.Second
		p.allocator.RecordDemand(p.now, "one", 0, UsageReport{}, p.needs)
	}
	is.Equal(len(p.allocator.resources["pool"].flows), 1)
}

// In any order of events, no share is negative or NaN, throttled customers together get
// no more than the capacity, and a single customer is not throttled.
func TestSharesAreValidInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allocator := New(DefaultOptions())
		now := time.Duration(0)
		names := []string{"", "a", "b", "\x00\xff", "d"}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * ms
			capacity := rapid.SampledFrom([]float64{0, 0.5, 5, 1e6}).Draw(t, "capacity")
			needs := []Need{
				{Resource: "x", Work: rapid.SampledFrom([]float64{0, 1e-9, 0.1, 40}).Draw(t, "work"), Capacity: capacity},
				{Resource: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "other"), Work: 0.3, Capacity: 5},
			}
			reported := UsageReport{Fraction: rapid.Float64Range(0, 1).Draw(t, "part"), Requests: rapid.Float64Range(0, 100).Draw(t, "of")}
			customer, rank := rapid.SampledFrom(names).Draw(t, "customer"), rapid.IntRange(-1, 3).Draw(t, "rank")
			if allocator.RecordDemand(now, customer, rank, reported, needs).Within {
				allocator.RecordServed(customer, rank, needs)
			}
			sum := 0.0
			for name, share := range allocator.Throttled(now, "y") {
				if !(share >= 0) {
					t.Fatalf("customer %q has share %v", name, share)
				}
				sum += share
			}
			if sum > 5*1.000001 {
				t.Fatalf("%v of a capacity of 5 are allocated", sum)
			}
		}
	})
}
