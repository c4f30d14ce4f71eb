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
	lossWindow      = 2 * time.Second // losses by time are summed per window
	maxSampleIDs    = 3               // request ids shown per cause
	reasonOverShare = "over its customer's share"
	reasonServed    = "served" // reason logged for a request that was answered
)

// lossAggregate sums the outcomes of requests by cause, time, route and customer.
type lossAggregate struct {
	attempts       int
	causes         map[string]*cause
	windows        map[time.Time]*window
	refusals       map[string][]*refusal // by request id
	customers      map[string]*customerLosses
	routes         map[string]*routeLosses
	estimateErrors []time.Duration // measured less expected duration of the stages that ran
	processStarts  int
}

// cause counts the requests that were not served in time for one reason.
type cause struct {
	name      string
	count     int
	byRoute   map[string]int
	sampleIDs []string
}

// window counts the attempts that ended within a lossWindow.
type window struct {
	attempts int
	losses   map[string]int
}

func newLossAggregate() *lossAggregate {
	return &lossAggregate{
		causes:    make(map[string]*cause),
		windows:   make(map[time.Time]*window),
		refusals:  make(map[string][]*refusal),
		customers: make(map[string]*customerLosses),
		routes:    make(map[string]*routeLosses),
	}
}

// addEvent counts the end of an attempt or the start of a process.
func (a *lossAggregate) addEvent(l *logLine) {
	switch l.event {
	case event.NodeStarted.Number:
		a.processStarts++
	case event.NodeRequest.Number:
		a.addAttempt(l)
	}
}

func (a *lossAggregate) addAttempt(l *logLine) {
	a.attempts++
	if expected := l.duration("expected"); expected > 0 && l.duration("staged") > 0 {
		a.estimateErrors = append(a.estimateErrors, l.duration("staged")-expected)
	}
	at := l.time().Truncate(lossWindow)
	w := a.windows[at]
	if w == nil {
		w = &window{losses: make(map[string]int)}
		a.windows[at] = w
	}
	w.attempts++
	name := a.lossCause(l)
	a.addRouteAttempt(l, name)
	a.addCustomerAttempt(l, name)
	if name == "" {
		return
	}
	w.losses[name]++
	c := a.causes[name]
	if c == nil {
		c = &cause{name: name, byRoute: make(map[string]int)}
		a.causes[name] = c
	}
	c.count++
	c.byRoute[l.field("route")]++
	if len(c.sampleIDs) < maxSampleIDs {
		c.sampleIDs = append(c.sampleIDs, l.request)
	}
}

// lossCause returns why a request was not served in time; "" if it was.
func (a *lossAggregate) lossCause(l *logLine) string {
	reason := l.field("why")
	switch {
	case reason == reasonServed:
		return lateCause(l)
	case strings.HasPrefix(reason, reasonOverShare):
		return reasonOverShare
	case strings.HasPrefix(reason, "stages refused"):
		if r := a.findRefusal(l); r != nil {
			return r.cause(l)
		}
		return "refused, not told why"
	case strings.HasPrefix(reason, "stages failed"):
		return "given up, " + strings.TrimPrefix(reason, "stages failed: ")
	}
	return reason
}

// lateCause returns which part of a served request took most of its time; "" if it was
// in time.
func lateCause(l *logLine) string {
	switch {
	case !l.missedObjective():
		return ""
	case l.duration("staged") == 0:
		return "late, replica"
	case l.isStageBound():
		return "late, stages"
	}
	return "late, engine"
}

// losses reads logs and prints the requests that were not served in time, by cause and
// time.
func (c *client) losses(files []string) (int, error) {
	a := newLossAggregate()
	for _, visit := range []func(*logLine){a.addRefusal, a.addEvent} {
		for _, name := range files {
			if err := readLog(name, visit); err != nil {
				return process.ExitUsage, err
			}
		}
	}
	if a.attempts == 0 {
		return process.ExitFailure, fmt.Errorf("no line of these logs tells of a request's end (event %d)", event.NodeRequest.Number)
	}
	c.printLosses(a)
	return process.ExitOK, nil
}

func (c *client) printLosses(a *lossAggregate) {
	causes := slices.SortedFunc(maps.Values(a.causes), func(x, y *cause) int {
		return cmp.Or(cmp.Compare(y.count, x.count), cmp.Compare(x.name, y.name))
	})
	lost := 0
	for _, x := range causes {
		lost += x.count
	}
	fmt.Fprintf(c.out, "%d attempts of clients ended, %d of them not served in time; %d starts of processes\n\n", a.attempts, lost, a.processStarts)
	fmt.Fprintf(c.out, "%-34s %6s  %-40s %s\n", "cause", "count", "by route", "requests to explain")
	for _, x := range causes {
		fmt.Fprintf(c.out, "%-34s %6d  %-40s %s\n", x.name, x.count, formatCounts(x.byRoute), strings.Join(x.sampleIDs, " "))
	}
	a.printRanks(c.out)
	a.printSizes(c.out)
	a.printCustomers(c.out)
	fmt.Fprintf(c.out, "\n%-26s %6s %6s  %s\n", "from", "asked", "lost", "causes")
	for _, at := range slices.SortedFunc(maps.Keys(a.windows), time.Time.Compare) {
		w := a.windows[at]
		fmt.Fprintf(c.out, "%-26s %6d %6d  %s\n", at.Format(time.RFC3339), w.attempts, total(w.losses), formatCounts(w.losses))
	}
	if len(a.estimateErrors) > 0 {
		slices.Sort(a.estimateErrors)
		at := func(share float64) time.Duration {
			return a.estimateErrors[int(share*float64(len(a.estimateErrors)-1))].Round(time.Millisecond)
		}
		fmt.Fprintf(c.out, "\nstages, taken less expected, of %d admitted: one in ten under %v, half under %v, one in ten over %v\n",
			len(a.estimateErrors), at(0.1), at(0.5), at(0.9))
	}
}

// formatCounts formats counts by name, the largest first.
func formatCounts(m map[string]int) string {
	names := slices.SortedFunc(maps.Keys(m), func(x, y string) int {
		return cmp.Or(cmp.Compare(m[y], m[x]), cmp.Compare(x, y))
	})
	out := make([]string, 0, len(names))
	for _, n := range names {
		out = append(out, fmt.Sprintf("%s %d", n, m[n]))
	}
	return strings.Join(out, ", ")
}
