package shares

import (
	"cmp"
	"slices"
	"time"
)

// Row is a customer's use of a resource, for logs and the state dump.
type Row struct {
	Customer  string
	Resource  string
	Demand    float64 `json:"Asked"` // units of work per second
	Share     float64 // units of work per second; 0 unless throttled
	Throttled bool    `json:"Held"`
}

// Rows returns the customers with the most demand, up to limit for each resource, and
// all throttled customers.
func (a *Allocator) Rows(now time.Duration, limit int) []Row {
	var out []Row
	for name, r := range a.resources {
		r.allocateIfDue(now)
		rows := r.rows(name)
		slices.SortFunc(rows, func(a, b Row) int {
			return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Customer, b.Customer))
		})
		for i, row := range rows {
			if i < limit || row.Throttled {
				out = append(out, row)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Row) int { return cmp.Compare(a.Resource, b.Resource) })
	return out
}

// ThrottledRows returns the throttled customers, sorted by resource and customer.
func (a *Allocator) ThrottledRows(now time.Duration) []Row {
	var out []Row
	for name, r := range a.resources {
		r.allocateIfDue(now)
		if r.scarce {
			out = append(out, slices.DeleteFunc(r.rows(name), func(row Row) bool { return !row.Throttled })...)
		}
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Resource, b.Resource), cmp.Compare(a.Customer, b.Customer))
	})
	return out
}

func (r *resource) rows(name string) []Row {
	out := make([]Row, 0, len(r.flows))
	for customer, f := range r.flows {
		row := Row{Customer: customer, Resource: name, Demand: f.demand() / r.opts.DemandWindow.Seconds(), Throttled: f.throttled()}
		if row.Throttled {
			row.Share = f.share
		}
		out = append(out, row)
	}
	return out
}
