package shares

import (
	"cmp"
	"slices"
	"time"
)

// Row is what a table knows of a customer at a resource, for logs and the dump of
// state.
type Row struct {
	Customer  string
	Resource  string
	Demand    float64 `json:"Asked"` // in a second
	Share     float64 // that it may have, in a second; 0 where it is not held to one
	Throttled bool    `json:"Held"`
}

// Rows returns the customers that ask for most of each resource, so many of each,
// and all that are held to a share.
func (t *Allocator) Rows(now time.Duration, each int) []Row {
	var out []Row
	for name, r := range t.resources {
		r.partIfDue(now)
		rows := r.rows(name)
		slices.SortFunc(rows, func(a, b Row) int {
			return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Customer, b.Customer))
		})
		for i, row := range rows {
			if i < each || row.Throttled {
				out = append(out, row)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Row) int { return cmp.Compare(a.Resource, b.Resource) })
	return out
}

// HeldRows returns who is held to a share, by resource and customer.
func (t *Allocator) ThrottledRows(now time.Duration) []Row {
	var out []Row
	for name, r := range t.resources {
		r.partIfDue(now)
		if r.short {
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
		row := Row{Customer: customer, Resource: name, Demand: f.asked() / r.opts.DemandWindow.Seconds(), Throttled: f.held()}
		if row.Throttled {
			row.Share = f.share
		}
		out = append(out, row)
	}
	return out
}
