package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/protocol/event"
)

const (
	lossWindow = 2 * time.Second // in which losses are summed by time
	shownIDs   = 3               // of requests, for each cause
	overShare  = "over its customer's share"
	whyServed  = "served" // the reason of a request that was answered
)

// account sums what became of requests, by cause and by time.
type account struct {
	asked     int
	causes    map[string]*cause
	windows   map[time.Time]*window
	refusals  map[string][]*refusal // by request
	customers map[string]*customerLosses
	routes    map[string]*routeAccount
	errors    []time.Duration // taken less expected, of stages that were run
	restarts  int
}

// cause is why requests were not served in time.
type cause struct {
	name  string
	count int
	kinds map[string]int // by route
	ids   []string
}

// window is what came to its end in a span of time.
type window struct {
	asked  int
	losses map[string]int
}

func newAccount() *account {
	return &account{
		causes:    make(map[string]*cause),
		windows:   make(map[time.Time]*window),
		refusals:  make(map[string][]*refusal),
		customers: make(map[string]*customerLosses),
		routes:    make(map[string]*routeAccount),
	}
}

// takeEnd takes in a request's end, or a process's start.
func (a *account) takeEnd(l *logLine) {
	switch l.event {
	case event.NodeStarted.Number:
		a.restarts++
	case event.NodeRequest.Number:
		a.takeRequest(l)
	}
}

func (a *account) takeRequest(l *logLine) {
	a.asked++
	if expected := l.duration("expected"); expected > 0 && l.duration("staged") > 0 {
		a.errors = append(a.errors, l.duration("staged")-expected)
	}
	at := l.time().Truncate(lossWindow)
	w := a.windows[at]
	if w == nil {
		w = &window{losses: make(map[string]int)}
		a.windows[at] = w
	}
	w.asked++
	name := a.why(l)
	a.takeSize(l, name)
	a.takeCustomer(l, name)
	if name == "" {
		return
	}
	w.losses[name]++
	c := a.causes[name]
	if c == nil {
		c = &cause{name: name, kinds: make(map[string]int)}
		a.causes[name] = c
	}
	c.count++
	c.kinds[l.field("route")]++
	if len(c.ids) < shownIDs {
		c.ids = append(c.ids, l.request)
	}
}

// why returns the cause for which a request was not served in time; "" if it was.
func (a *account) why(l *logLine) string {
	why := l.field("why")
	switch {
	case why == whyServed:
		return lateness(l)
	case strings.HasPrefix(why, overShare):
		return overShare
	case strings.HasPrefix(why, "stages refused"):
		if r := a.refusalOf(l); r != nil {
			return r.cause(l)
		}
		return "refused, not told why"
	case strings.HasPrefix(why, "stages failed"):
		return "given up, " + strings.TrimPrefix(why, "stages failed: ")
	}
	return why
}

// lateness returns what took a served request's time; "" when it was in time.
func lateness(l *logLine) string {
	switch {
	case !l.late():
		return ""
	case l.duration("staged") == 0:
		return "late, replica"
	case l.mostlyStages():
		return "late, stages"
	}
	return "late, engine"
}

// losses reads logs and prints what was not served in time, by cause and time.
func (c *client) losses(files []string) (int, error) {
	a := newAccount()
	for _, take := range []func(*logLine){a.takeRefusal, a.takeEnd} {
		for _, name := range files {
			if err := readLog(name, take); err != nil {
				return process.ExitUsage, err
			}
		}
	}
	if a.asked == 0 {
		return process.ExitFailure, fmt.Errorf("no line of these logs tells of a request's end (event %d)", event.NodeRequest.Number)
	}
	c.printAccount(a)
	return process.ExitOK, nil
}

func (c *client) printAccount(a *account) {
	causes := slices.SortedFunc(maps.Values(a.causes), func(x, y *cause) int {
		return cmp.Or(cmp.Compare(y.count, x.count), cmp.Compare(x.name, y.name))
	})
	lost := 0
	for _, x := range causes {
		lost += x.count
	}
	fmt.Fprintf(c.out, "%d attempts of clients ended, %d of them not served in time; %d starts of processes\n\n", a.asked, lost, a.restarts)
	fmt.Fprintf(c.out, "%-34s %6s  %-40s %s\n", "cause", "count", "by route", "requests to explain")
	for _, x := range causes {
		fmt.Fprintf(c.out, "%-34s %6d  %-40s %s\n", x.name, x.count, counts(x.kinds), strings.Join(x.ids, " "))
	}
	a.printRanks(c.out)
	a.printSizes(c.out)
	a.printCustomers(c.out)
	fmt.Fprintf(c.out, "\n%-26s %6s %6s  %s\n", "from", "asked", "lost", "causes")
	for _, at := range slices.SortedFunc(maps.Keys(a.windows), time.Time.Compare) {
		w := a.windows[at]
		fmt.Fprintf(c.out, "%-26s %6d %6d  %s\n", at.Format(time.RFC3339), w.asked, sum(w.losses), counts(w.losses))
	}
	if len(a.errors) > 0 {
		slices.Sort(a.errors)
		at := func(share float64) time.Duration {
			return a.errors[int(share*float64(len(a.errors)-1))].Round(time.Millisecond)
		}
		fmt.Fprintf(c.out, "\nstages, taken less expected, of %d admitted: one in ten under %v, half under %v, one in ten over %v\n",
			len(a.errors), at(0.1), at(0.5), at(0.9))
	}
}

// counts writes counts by name, the largest first.
func counts(m map[string]int) string {
	names := slices.SortedFunc(maps.Keys(m), func(x, y string) int {
		return cmp.Or(cmp.Compare(m[y], m[x]), cmp.Compare(x, y))
	})
	out := make([]string, 0, len(names))
	for _, n := range names {
		out = append(out, fmt.Sprintf("%s %d", n, m[n]))
	}
	return strings.Join(out, ", ")
}
