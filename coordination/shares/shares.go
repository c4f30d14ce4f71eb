// Package shares parts what runs short among customers: weighted max-min
// fairness (Bertsekas and Gallager, Data Networks, 1987).
//
// A customer may take all that is free. Where more is asked for than there is,
// who asks for less than its share is served as though the others weren't there,
// and what it leaves is parted among the rest. A share is at least the same part
// for everyone, and at least what a customer has usually been served: when all
// ask for more at once, all are cut alike, and when one does, that one is. What is
// usual is learnt here, and before that told by those who take requests in; where
// nobody knows, nobody is held: a large customer can't be told from one that floods.
//
// Within its share a customer's most urgent requests come first; what is beyond
// it goes behind everything that is within its sender's share, however urgent.
//
// Shares follow what is asked for within a second or two. Nothing is saved up
// while a customer asks for little, and nothing is held against it afterwards.
//
// A Table is pure: events and time in, decisions out. It is not safe for
// concurrent use.
package shares

import "time"

// Need is what a request takes of one resource.
type Need struct {
	Resource string
	Work     float64 // in units of the resource's own, seconds of its replicas for instance
	Capacity float64 // that the resource has of these in a second
}

// Told is what is told, where a request was taken in, of how much its customer has
// usually sent there.
type UsageReport struct {
	Fraction float64 // of all requests
	Requests float64 // of so many requests lately
}

// Standing is how a request stands within its customer's share.
type Standing struct {
	Within   bool
	Resource string  // that runs shortest for it; "" for none
	Demand   float64 // of that resource by its customer, in a second
	Share    float64 // of that resource that its customer may have, in a second
}

// Options are the table's constants.
type Options struct {
	DemandWindow       time.Duration // over which what is asked for is averaged
	UsageWindow        time.Duration // the same of what is usually served
	ExcessRatio        float64       // times as much as the others, by their weights, that a customer asks for before it is held to its share
	BurstTolerance     float64       // requests, over AskedFor, that may come together by chance
	Burst              time.Duration // of a share that may be used at once
	AllocationInterval time.Duration // between two times that a resource is parted anew
	LearnInterval      time.Duration // the same for what is usual
	MinLearned         time.Duration // of what is usual, from which it decides alone
	MaxScarceLearning  time.Duration // that what is usual is learnt although more is asked for than there is, where nothing is known
	MinReported        float64       // requests that told is of, from which it counts
	MinAverage         float64       // averages below this, in units of a resource a second, are dropped
}

// Standard returns the constants in use.
func Standard() Options {
	return Options{
		DemandWindow:       time.Second,
		UsageWindow:        60 * time.Second,
		BurstTolerance:     4,
		ExcessRatio:        1.5,
		Burst:              300 * time.Millisecond,
		AllocationInterval: 100 * time.Millisecond,
		LearnInterval:      time.Second,
		MinLearned:         2 * time.Second,
		MaxScarceLearning:  10 * time.Second,
		MinReported:        40,
		MinAverage:         1e-4,
	}
}

// Table knows what customers ask for of some resources.
type Allocator struct {
	opts      Options
	resources map[string]*resource
	told      map[string]float64 // by customer: its usual part, as others tell it
}

// New returns a table that knows no resource.
func New(opts Options) *Allocator {
	return &Allocator{opts: opts, resources: make(map[string]*resource), told: make(map[string]float64)}
}

// Ask takes in a request and what it needs, and tells how it stands. Each request
// counts as asked for, whatever becomes of it; one that is taken is told to Serve.
func (t *Allocator) RecordDemand(now time.Duration, customer string, rank int, told UsageReport, needs []Need) Standing {
	t.hear(customer, told)
	out := Standing{Within: true}
	for _, n := range needs {
		r := t.resource(n.Resource)
		r.capacity = n.Capacity
		r.partIfDue(now)
		f := r.flow(customer)
		f.of(rank).work += n.Work
		r.requests++
		if f.held() && !f.hasCredit(now, rank, &t.opts) {
			out = Standing{Resource: n.Resource, Demand: f.asked() / t.opts.DemandWindow.Seconds(), Share: f.share}
		}
	}
	return out
}

// hear takes in what is told of a customer.
func (t *Allocator) hear(customer string, told UsageReport) {
	if told.Requests < t.opts.MinReported {
		return
	}
	part, known := t.told[customer]
	if !known && len(t.told) < mostTold {
		part = told.Fraction
	}
	if known || len(t.told) < mostTold {
		t.told[customer] = part + toldRate*(told.Fraction-part)
	}
}

const (
	mostTold = 1000 // customers; it matters for heavy ones alone, which ask first
	toldRate = 0.1  // weight of the last word
)

// Serve counts a request as served within its customer's share.
func (t *Allocator) RecordServed(customer string, rank int, needs []Need) {
	for _, n := range needs {
		f := t.resource(n.Resource).flow(customer)
		f.of(rank).credit -= n.Work
		f.recent += n.Work
	}
}

// Held returns the customers that ask for more of a resource than their share of
// it, and that share, in a second.
func (t *Allocator) Throttled(now time.Duration, resource string) map[string]float64 {
	r := t.resources[resource]
	if r == nil {
		return nil
	}
	r.partIfDue(now)
	if !r.short {
		return nil
	}
	out := make(map[string]float64)
	for customer, f := range r.flows {
		if f.held() {
			out[customer] = f.share
		}
	}
	return out
}

func (t *Allocator) resource(name string) *resource {
	r := t.resources[name]
	if r == nil {
		r = &resource{opts: &t.opts, told: t.told, flows: make(map[string]*flow)}
		t.resources[name] = r
	}
	return r
}
