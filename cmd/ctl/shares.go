package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// mostCustomers is how many customers an account shows, those that sent most.
const mostCustomers = 20

// customerLosses is what became of one customer's attempts, by route.
type customerLosses struct {
	asked  int
	causes map[string]int
	routes map[string]*routeShare
}

type routeShare struct{ asked, inTime int }

// takeCustomer takes in an attempt's end and the cause for which it was not served
// in time; "" where it was.
func (a *account) takeCustomer(l *logLine, cause string) {
	name := l.field("customer")
	if name == "" {
		return // the route takes anybody, or the line is of an older build
	}
	c := a.customers[name]
	if c == nil {
		c = &customerLosses{causes: make(map[string]int), routes: make(map[string]*routeShare)}
		a.customers[name] = c
	}
	c.asked++
	r := c.routes[l.field("route")]
	if r == nil {
		r = &routeShare{}
		c.routes[l.field("route")] = r
	}
	r.asked++
	if cause == "" {
		r.inTime++
		return
	}
	c.causes[cause]++
}

func (a *account) printCustomers(out io.Writer) {
	if len(a.customers) == 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(a.customers), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.customers[y].asked, a.customers[x].asked), cmp.Compare(x, y))
	})
	fmt.Fprintf(out, "\n%-26s %6s %6s  %-44s %s\n", "customer", "asked", "lost", "in time, by route", "causes")
	for _, name := range names[:min(len(names), mostCustomers)] {
		c := a.customers[name]
		fmt.Fprintf(out, "%-26s %6d %6d  %-44s %s\n", name, c.asked, sum(c.causes), c.shares(), counts(c.causes))
	}
	if more := len(names) - mostCustomers; more > 0 {
		fmt.Fprintf(out, "and %d more\n", more)
	}
}

// shares writes by route which part of the attempts was in time.
func (c *customerLosses) shares() string {
	text := ""
	for _, route := range slices.Sorted(maps.Keys(c.routes)) {
		r := c.routes[route]
		text += fmt.Sprintf("%s %.2f ", route, float64(r.inTime)/float64(r.asked))
	}
	return text
}
