package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// maxCustomers is the number of customers that losses shows, those with most attempts.
const maxCustomers = 20

// customerLosses counts the outcomes of a customer's attempts by cause and route.
type customerLosses struct {
	attempts int
	causes   map[string]int
	routes   map[string]*routeCounts
}

type routeCounts struct{ attempts, inTime int }

// addCustomerAttempt counts an attempt's end. cause is why it was not served in time, ""
// if it was.
func (a *lossAggregate) addCustomerAttempt(l *logLine, cause string) {
	name := l.field("customer")
	if name == "" {
		return // the route needs no key, or the line is of a build that didn't log customers
	}
	c := a.customers[name]
	if c == nil {
		c = &customerLosses{causes: make(map[string]int), routes: make(map[string]*routeCounts)}
		a.customers[name] = c
	}
	c.attempts++
	r := c.routes[l.field("route")]
	if r == nil {
		r = &routeCounts{}
		c.routes[l.field("route")] = r
	}
	r.attempts++
	if cause == "" {
		r.inTime++
		return
	}
	c.causes[cause]++
}

func (a *lossAggregate) printCustomers(out io.Writer) {
	if len(a.customers) == 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(a.customers), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.customers[y].attempts, a.customers[x].attempts), cmp.Compare(x, y))
	})
	fmt.Fprintf(out, "\n%-26s %6s %6s  %-44s %s\n", "customer", "asked", "lost", "in time, by route", "causes")
	for _, name := range names[:min(len(names), maxCustomers)] {
		c := a.customers[name]
		fmt.Fprintf(out, "%-26s %6d %6d  %-44s %s\n", name, c.attempts, total(c.causes), c.inTimeRates(), formatCounts(c.causes))
	}
	if more := len(names) - maxCustomers; more > 0 {
		fmt.Fprintf(out, "and %d more\n", more)
	}
}

// inTimeRates formats the ratio of attempts served in time by route.
func (c *customerLosses) inTimeRates() string {
	text := ""
	for _, route := range slices.Sorted(maps.Keys(c.routes)) {
		r := c.routes[route]
		text += fmt.Sprintf("%s %.2f ", route, float64(r.inTime)/float64(r.attempts))
	}
	return text
}
