// Package shares divides scarce resources among customers by weighted max-min fairness
// (Bertsekas and Gallager, Data Networks, 1987).
//
// A customer may use all capacity that is free. When demand exceeds capacity, a
// customer that demands less than its share is served as if the others weren't there,
// and the remainder is divided among the rest. A share is at least an equal part, and
// at least what the customer is usually served. When all customers demand more at once,
// all are cut alike; when one does, only that one is throttled. Usage is learned here;
// until enough is learned, it comes from the reports of the instances that accept
// requests. When no usage is known nobody is throttled, since a large customer can't be
// told from a flood.
//
// Within its share a customer's most urgent requests go first. Requests over the share
// queue behind all requests that are within their customers' shares, however urgent
// they are.
//
// Shares follow demand within one to two seconds. A customer accumulates no credit
// while it demands little, and is not penalized after a flood.
//
// An Allocator is pure: it maps events and times to decisions. It is not safe for
// concurrent use.
package shares

import "time"

// Need is the amount of one resource that a request uses.
type Need struct {
	Resource string
	Work     float64 // in units of the resource, such as seconds of its replicas
	Capacity float64 // of the resource, in units per second
}

// UsageReport is a customer's recent part of the load at the instance that accepted a
// request.
type UsageReport struct {
	Fraction float64 // of all requests there
	Requests float64 // number of recent requests that Fraction was measured over
}

// Standing is the position of a request relative to its customer's share.
type Standing struct {
	Within   bool    // the request is within the share for each resource that it needs
	Resource string  // resource on which the customer is over its share; "" for none
	Demand   float64 // units of that resource per second that the customer demands
	Share    float64 // units of that resource per second that the customer may use
}

// Options are the settings of an Allocator.
type Options struct {
	DemandWindow       time.Duration // averaging window of demand
	UsageWindow        time.Duration // averaging window of usage
	ExcessRatio        float64       // a customer is throttled when its demand per weight exceeds this multiple of that of the others
	BurstTolerance     float64       // requests within DemandWindow that may arrive together by chance
	Burst              time.Duration // part of a share that may be used at once
	AllocationInterval time.Duration // between two recomputations of the shares
	LearnInterval      time.Duration // between two updates of usage
	MinLearned         time.Duration // time of learning from which on learned usage replaces reports
	MaxScarceLearning  time.Duration // limit on learning during scarcity when no usage is known
	MinReported        float64       // number of requests that a report must cover to count
	MinAverage         float64       // averages below this, in units of the resource, are dropped
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
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

// Allocator holds the customers' demand for a set of resources.
type Allocator struct {
	opts      Options
	resources map[string]*resource
	reported  map[string]float64 // by customer: reported fraction of the usual load
}

// New returns an allocator without resources.
func New(opts Options) *Allocator {
	return &Allocator{opts: opts, resources: make(map[string]*resource), reported: make(map[string]float64)}
}

// RecordDemand counts a request and its needs and returns its standing. Each request
// counts as demand, whether or not it is served; the caller passes those that are
// served to RecordServed.
func (a *Allocator) RecordDemand(now time.Duration, customer string, rank int, reported UsageReport, needs []Need) Standing {
	a.recordReport(customer, reported)
	out := Standing{Within: true}
	for _, n := range needs {
		r := a.resource(n.Resource)
		r.capacity = n.Capacity
		r.allocateIfDue(now)
		f := r.flow(customer)
		f.atRank(rank).work += n.Work
		r.requests++
		if f.throttled() && !f.hasCredit(now, rank, &a.opts) {
			out = Standing{Resource: n.Resource, Demand: f.demand() / a.opts.DemandWindow.Seconds(), Share: f.share}
		}
	}
	return out
}

// recordReport averages the reports on a customer.
func (a *Allocator) recordReport(customer string, reported UsageReport) {
	if reported.Requests < a.opts.MinReported {
		return
	}
	fraction, known := a.reported[customer]
	if !known && len(a.reported) < maxReported {
		fraction = reported.Fraction
	}
	if known || len(a.reported) < maxReported {
		a.reported[customer] = fraction + reportGain*(reported.Fraction-fraction)
	}
}

const (
	maxReported = 1000 // customers; only large ones matter, and their reports tend to arrive first
	reportGain  = 0.1  // weight of a new report in the moving average
)

// RecordServed counts a request as served within its customer's share.
func (a *Allocator) RecordServed(customer string, rank int, needs []Need) {
	for _, n := range needs {
		f := a.resource(n.Resource).flow(customer)
		f.atRank(rank).credit -= n.Work
		f.recent += n.Work
	}
}

// Throttled returns the customers that demand more of a resource than their share, and
// that share in units per second.
func (a *Allocator) Throttled(now time.Duration, resource string) map[string]float64 {
	r := a.resources[resource]
	if r == nil {
		return nil
	}
	r.allocateIfDue(now)
	if !r.scarce {
		return nil
	}
	out := make(map[string]float64)
	for customer, f := range r.flows {
		if f.throttled() {
			out[customer] = f.share
		}
	}
	return out
}

func (a *Allocator) resource(name string) *resource {
	r := a.resources[name]
	if r == nil {
		r = &resource{opts: &a.opts, reported: a.reported, flows: make(map[string]*flow)}
		a.resources[name] = r
	}
	return r
}
