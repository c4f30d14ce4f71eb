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

// play has customers ask for so many requests a second of one resource, each of
// them some work at a rank, and returns the part of them within shares.
type play struct {
	t     *Allocator
	now   time.Duration
	needs []Need
	told  map[string]UsageReport
}

func newPlay(work, capacity float64) *play {
	return &play{t: New(Standard()), needs: []Need{{Resource: "pool", Work: work, Capacity: capacity}}}
}

// asks is how many requests a customer sends in a second.
type asks struct {
	customer string
	rank     int
	each     float64
}

func (p *play) run(d time.Duration, all ...asks) map[string]float64 {
	const step = 10 * ms
	asked, within := make(map[string]float64), make(map[string]float64)
	due := make([]float64, len(all))
	for end := p.now + d; p.now < end; p.now += step {
		for i, a := range all {
			for due[i] += a.each * step.Seconds(); due[i] >= 1; due[i]-- {
				key := fmt.Sprint(a.customer, a.rank)
				asked[key]++
				if p.t.RecordDemand(p.now, a.customer, a.rank, p.told[a.customer], p.needs).Within {
					within[key]++
					p.t.RecordServed(a.customer, a.rank, p.needs)
				}
			}
		}
	}
	for key := range asked {
		within[key] /= asked[key]
	}
	return within
}

func TestACustomerAloneIsNotHeld(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	is.Equal(p.run(10*time.Second, asks{"a", 0, 500})["a0"], 1.0)
}

func TestWhoFloodsIsHeldToWhatTheOthersLeave(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5) // 50 requests a second
	p.run(5*time.Second, asks{"a", 0, 15}, asks{"b", 0, 10}, asks{"c", 0, 5})
	p.run(time.Second, asks{"a", 0, 135}, asks{"b", 0, 10}, asks{"c", 0, 5})
	got := p.run(8*time.Second, asks{"a", 0, 135}, asks{"b", 0, 10}, asks{"c", 0, 5})
	is.Equal(got["b0"], 1.0)
	is.Equal(got["c0"], 1.0)
	is.True(math.Abs(got["a0"]*135-35) < 5) // all that b and c leave
}

func TestNobodyIsHeldWhereAllAskForMore(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.run(5*time.Second, asks{"a", 0, 20}, asks{"b", 0, 10}, asks{"c", 0, 5})
	got := p.run(8*time.Second, asks{"a", 0, 80}, asks{"b", 0, 40}, asks{"c", 0, 20})
	is.Equal(got["a0"], 1.0)
	is.Equal(got["b0"], 1.0)
}

// Requests of older builds and of routes that take anybody name no customer: they
// are many customers', and held to nobody's share.
func TestRequestsWithoutACustomerAreNotHeld(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.run(2*time.Second, asks{"a", 0, 10}, asks{"b", 0, 10})
	got := p.run(5*time.Second, asks{"", 0, 100}, asks{"a", 0, 10}, asks{"b", 0, 10})
	is.Equal(got["0"], 1.0)
	is.Equal(got["a0"], 1.0)
}

func TestTwoThatFloodAreHeld(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.run(5*time.Second, asks{"a", 0, 15}, asks{"b", 0, 5}, asks{"c", 0, 8})
	p.run(time.Second, asks{"a", 0, 135}, asks{"b", 0, 45}, asks{"c", 0, 8})
	got := p.run(8*time.Second, asks{"a", 0, 135}, asks{"b", 0, 45}, asks{"c", 0, 8})
	is.Equal(got["c0"], 1.0)
	is.True(got["a0"] < 0.3)
	is.True(got["b0"] < 0.6)
	is.True(got["b0"]*45 > 10) // it has an equal part at least
}

func TestTheMostUrgentOfACustomerComesFirst(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.run(5*time.Second, asks{"a", 0, 10}, asks{"a", 1, 10}, asks{"b", 5, 10})
	p.run(2*time.Second, asks{"a", 0, 30}, asks{"a", 1, 100}, asks{"b", 5, 10})
	got := p.run(8*time.Second, asks{"a", 0, 30}, asks{"a", 1, 100}, asks{"b", 5, 10})
	is.Equal(got["a0"], 1.0)
	is.True(math.Abs(got["a1"]*100-10) < 4)
	is.Equal(got["b5"], 1.0) // less urgent, and within its share
}

// Two seconds after a flood what is usual is within the share again, also what is
// less urgent.
func TestAFloodThatEndsIsForgotten(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	usual := []asks{{"a", 0, 10}, {"a", 1, 5}, {"b", 0, 10}}
	p.run(5*time.Second, usual...)
	p.run(8*time.Second, asks{"a", 0, 90}, asks{"a", 1, 45}, asks{"b", 0, 10})
	p.run(2*time.Second, usual...)
	got := p.run(time.Second, usual...)
	is.Equal(got["a0"], 1.0)
	is.Equal(got["a1"], 1.0)
}

// A flood of a minute does not become what is usual: once the others need more, who
// floods is held to about what it had before.
func TestALongFloodIsNotUsual(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 6) // 60 requests a second
	load := func(flood, others float64) []asks {
		all := []asks{{"a", 0, flood}}
		for i := range 39 {
			all = append(all, asks{fmt.Sprint("b", i), 0, others})
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

// An owner that has just begun holds a flood within the first second by what those
// who take requests in tell of what is usual.
func TestANewTableGivesAFloodNoFreshAllowance(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.told = map[string]UsageReport{"a": {0.5, 600}, "b": {0.35, 600}, "c": {0.15, 600}}
	all := []asks{{"a", 0, 135}, {"b", 0, 10}, {"c", 0, 5}}
	first := p.run(time.Second, all...)
	is.Equal(first["b0"], 1.0)
	is.Equal(first["c0"], 1.0)
	is.True(first["a0"]*135 < 2*35) // at most what a second more of its share would be
	then := p.run(5*time.Second, all...)
	is.Equal(then["b0"], 1.0)
	is.True(math.Abs(then["a0"]*135-35) < 5)
}

// After a start of all nobody knows what is usual: a large customer is not taken for
// one that floods.
func TestALargeCustomerIsNotHeldWhereNobodyKnowsWhatIsUsual(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.told = map[string]UsageReport{"a": {1, 3}} // as good as nothing
	got := p.run(8*time.Second, asks{"a", 0, 60}, asks{"b", 0, 10}, asks{"c", 0, 5}, asks{"d", 0, 5})
	is.Equal(got["a0"], 1.0)
	is.Equal(got["b0"], 1.0)
}

func TestNothingIsSavedUp(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.run(time.Minute, asks{"a", 0, 0.1}, asks{"b", 0, 20})
	p.run(500*ms, asks{"a", 0, 400}, asks{"b", 0, 20})
	got := p.run(4*time.Second, asks{"a", 0, 400}, asks{"b", 0, 20})
	is.Equal(got["b0"], 1.0)
	is.True(math.Abs(got["a0"]*400-30) < 10)
}

func TestNobodyIsHeldOnceNobodyAsks(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.1, 5)
	p.run(5*time.Second, asks{"a", 0, 15}, asks{"b", 0, 10})
	p.run(5*time.Second, asks{"a", 0, 450}, asks{"b", 0, 10})
	is.True(p.t.Throttled(p.now, "pool")["a"] > 0)
	is.Equal(len(p.t.Throttled(p.now+20*time.Second, "pool")), 0)
	is.Equal(len(p.t.Throttled(0, "another")), 0)
}

// Customers by the thousand cost what those do that are active.
func TestCustomersThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	p := newPlay(0.01, 5)
	for i := range 5400 {
		p.t.RecordDemand(time.Duration(i)*100*time.Microsecond, fmt.Sprint("customer-", i), 0, UsageReport{}, p.needs)
	}
	is.Equal(len(p.t.resources["pool"].flows), 5400)
	for range 100 {
		p.now += 10 * time.Second
		p.t.RecordDemand(p.now, "one", 0, UsageReport{}, p.needs)
	}
	is.Equal(len(p.t.resources["pool"].flows), 1)
}

// Whatever customers ask for: no share is negative or no number, those that are
// held have no more than there is together, and who is alone is not held.
func TestSharesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Standard())
		now := time.Duration(0)
		names := []string{"", "a", "b", "\x00\xff", "d"}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * ms
			capacity := rapid.SampledFrom([]float64{0, 0.5, 5, 1e6}).Draw(t, "capacity")
			needs := []Need{
				{Resource: "x", Work: rapid.SampledFrom([]float64{0, 1e-9, 0.1, 40}).Draw(t, "work"), Capacity: capacity},
				{Resource: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "other"), Work: 0.3, Capacity: 5},
			}
			told := UsageReport{Fraction: rapid.Float64Range(0, 1).Draw(t, "part"), Requests: rapid.Float64Range(0, 100).Draw(t, "of")}
			customer, rank := rapid.SampledFrom(names).Draw(t, "customer"), rapid.IntRange(-1, 3).Draw(t, "rank")
			if table.RecordDemand(now, customer, rank, told, needs).Within {
				table.RecordServed(customer, rank, needs)
			}
			sum := 0.0
			for name, share := range table.Throttled(now, "y") {
				if !(share >= 0) {
					t.Fatalf("%q has %v", name, share)
				}
				sum += share
			}
			if sum > 5*1.000001 {
				t.Fatalf("%v of 5 are parted", sum)
			}
		}
	})
}
