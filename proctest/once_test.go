package proctest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/proxy"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/coordination/outcome"
	"quinceroad/proctest/rig"
)

const (
	storeOp  = "store" // the stage of field-report that must not run twice
	storeFor = 400     // ms it takes here, so that faults fall into it
)

// slowStore makes the store long enough for a fault to fall into it.
func slowStore(c *upstream.Config) {
	for i := range c.Services {
		if c.Services[i].Name == "field-sync" {
			c.Services[i].MeanMS, c.Services[i].Sigma = storeFor, 0
		}
	}
}

func fieldReport(input string) load.Request {
	return load.Request{Pipeline: "field-report", Input: input, Deadline: time.Second, Numbered: true}
}

// homeOf returns the instance whose entry a caller's tickets belong to.
func homeOf(t *testing.T, r *rig.Rig, c *load.Caller) *rig.Instance {
	t.Helper()
	a, err := c.Addresses()
	must(t, err)
	for _, in := range r.Instances {
		if in.Settings.Entry.HTTP == a.Home {
			return in
		}
	}
	t.Fatalf("no instance has the home %s", a.Home)
	return nil
}

// others returns the instances that are not home.
func others(r *rig.Rig, home *rig.Instance) []*rig.Instance {
	var out []*rig.Instance
	for _, in := range r.Instances {
		if in != home {
			out = append(out, in)
		}
	}
	return out
}

// again repeats a numbered request at an instance.
func again(c *load.Caller, first check.Told, in *rig.Instance) check.Told {
	q := fieldReport(first.Input)
	q.Ticket, q.Address = first.Ticket, in.Settings.Entry.HTTP
	return c.Do(q)
}

// P4: the same number at every entry at once runs once, and all get its answer.
func TestOnceRetriesAtAllEntries(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore})
	c := caller(r, 0)
	a, err := c.Addresses()
	must(t, err)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var told []check.Told
	const numbers = 10
	for n := range numbers {
		for _, in := range r.Instances {
			q := fieldReport(fmt.Sprintf("report %d", n))
			q.Ticket, q.Address = fmt.Sprintf("%s.%d", a.Ticket, 1000+n), in.Settings.Entry.HTTP
			wg.Go(func() {
				x := c.Do(q)
				mu.Lock()
				defer mu.Unlock()
				told = append(told, x)
			})
		}
	}
	wg.Wait()
	verdict(t, r, told)
	for _, x := range told {
		if x.Outcome != outcome.Done {
			t.Errorf("%s: %s %s, want done", x.Ticket, x.Outcome, x.Code)
		}
	}
	if n := executions(t, r, storeOp); n != numbers {
		t.Errorf("%d stores for %d numbers", n, numbers)
	}
}

// P4: a home frozen past every timeout, then woken, does not run a number that
// callers meanwhile retried elsewhere.
func TestOnceHomeFrozen(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore})
	c := caller(r, 0)
	home := homeOf(t, r, c)
	a, err := c.Addresses()
	must(t, err)
	home.Entry.Freeze()
	q := fieldReport("frozen")
	q.Ticket, q.Address = a.Ticket+".1", home.Settings.Entry.HTTP
	var first check.Told
	var wg sync.WaitGroup
	wg.Go(func() { first = c.Do(q) })
	told := []check.Told{}
	for _, in := range others(r, home) {
		x := again(c, check.Told{Input: q.Input, Ticket: q.Ticket}, in)
		if x.Outcome != outcome.Unknown {
			t.Errorf("while the home is frozen: %s %s, want unknown", x.Outcome, x.Code)
		}
		told = append(told, x)
	}
	home.Entry.Thaw()
	wg.Wait()
	told = append(told, first)
	for _, in := range r.Instances {
		told = append(told, again(c, check.Told{Input: q.Input, Ticket: q.Ticket}, in))
	}
	verdict(t, r, told)
	if n := executions(t, r, storeOp); n > 1 {
		t.Errorf("%d stores of one number", n)
	}
}

// P4: a home killed after it dispatched leaves unknown, never a second run,
// also when it comes back as a new incarnation.
func TestOnceHomeKilled(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore})
	c := caller(r, 0)
	home := homeOf(t, r, c)
	a, err := c.Addresses()
	must(t, err)
	q := fieldReport("killed")
	q.Ticket, q.Address = a.Ticket+".1", home.Settings.Entry.HTTP
	var first check.Told
	var wg sync.WaitGroup
	wg.Go(func() { first = c.Do(q) })
	waitExecutions(t, r, storeOp, 1)
	home.Entry.Kill()
	wg.Wait()
	told := []check.Told{first}
	retry := func() {
		for _, in := range r.Instances {
			x := again(c, check.Told{Input: q.Input, Ticket: q.Ticket}, in)
			if x.Outcome == outcome.Done || x.Outcome == outcome.NotRun {
				t.Errorf("after the kill: %s %s, want unknown or no answer", x.Outcome, x.Code)
			}
			told = append(told, x)
		}
	}
	retry()
	must(t, r.StartEntry(home))
	must(t, r.WaitRevision(1))
	retry()
	verdict(t, r, told)
}

// P4: entries cut off from the home answer unknown; healed, they join.
func TestOnceEntriesCut(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore, Proxy: true})
	c := caller(r, 0)
	home := homeOf(t, r, c)
	route := home.Name + "/entry"
	must(t, r.InjectLinkFault(proxy.Fault{Route: route, Cut: true}))
	a, err := c.Addresses()
	must(t, err)
	first := check.Told{Input: "cut", Ticket: a.Ticket + ".1"}
	var told []check.Told
	for _, in := range others(r, home) {
		x := again(c, first, in)
		if x.Outcome != outcome.Unknown {
			t.Errorf("while cut: %s %s, want unknown", x.Outcome, x.Code)
		}
		told = append(told, x)
	}
	// One way only: the home runs it, its answers are lost.
	must(t, r.InjectLinkFault(proxy.Fault{Route: route, DropOut: true}))
	told = append(told, again(c, first, others(r, home)[0]))
	must(t, r.InjectLinkFault(proxy.Fault{Route: route}))
	must(t, r.WaitUntil("a join after the cut", func() bool {
		x := again(c, first, others(r, home)[1])
		told = append(told, x)
		return x.Outcome == outcome.Done
	}))
	verdict(t, r, told)
	if n := executions(t, r, storeOp); n != 1 {
		t.Errorf("%d stores of one number", n)
	}
}

// P4: an upstream that runs the request and hangs up without an answer is not
// asked again, neither by the entry nor under a retried ticket.
func TestOnceUpstreamHangsUp(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	for i := range 6 {
		must(t, r.InjectUpstreamFault(upstream.Fault{Replica: fmt.Sprintf("field-sync-%d", i), HangUp: true}))
	}
	c := caller(r, 0)
	var told []check.Told
	const numbers = 20
	for n := range numbers {
		x := c.Do(fieldReport(fmt.Sprintf("report %d", n)))
		if x.Outcome != outcome.Unknown {
			t.Errorf("%s %s, want unknown", x.Outcome, x.Code)
		}
		told = append(told, x, again(c, x, r.Instances[n%len(r.Instances)]))
	}
	verdict(t, r, told)
	if n := executions(t, r, storeOp); n != numbers {
		t.Errorf("%d stores for %d numbers", n, numbers)
	}
}

// P4: after a planned stop the heir answers the home's numbers from its ledger
// and runs the new ones; nothing runs twice.
func TestOnceHeir(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	c := caller(r, 0)
	home := homeOf(t, r, c)
	a, err := c.Addresses()
	must(t, err)
	first := c.Do(fieldReport("before"))
	if first.Outcome != outcome.Done {
		t.Fatalf("before the stop: %s %s", first.Outcome, first.Code)
	}
	home.Entry.Stop()
	if code := home.Entry.Wait(); code != 0 {
		t.Errorf("planned stop: exit code %d", code)
	}
	told := []check.Told{first}
	for _, in := range others(r, home) {
		x := again(c, first, in)
		if x.Outcome != outcome.Done || x.Digest != first.Digest {
			t.Errorf("a retry after the stop: %s %s, want the first answer", x.Outcome, x.Code)
		}
		told = append(told, x)
	}
	fresh := check.Told{Input: "after", Ticket: a.Ticket + ".77"}
	for _, in := range others(r, home) {
		x := again(c, fresh, in)
		if x.Outcome != outcome.Done {
			t.Errorf("a new number after the stop: %s %s, want done by the heir", x.Outcome, x.Code)
		}
		told = append(told, x)
	}
	verdict(t, r, told)
	if n := executions(t, r, storeOp); n != 2 {
		t.Errorf("%d stores of two numbers", n)
	}
}

// P3, P4: a number that ran is not called not_run because its pipeline is no
// longer declared: its caller would send it again under another number.
func TestOnceAfterPipelineIsGone(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	c := caller(r, 0)
	first := c.Do(fieldReport("before"))
	if first.Outcome != outcome.Done {
		t.Fatalf("%s %s", first.Outcome, first.Code)
	}
	_, err := r.Confirm(strings.Replace(r.Declaration, `name = "field-report"`, `name = "field-note"`, 1))
	must(t, err)
	told := []check.Told{first}
	for _, in := range r.Instances {
		x := again(c, first, in)
		if x.Outcome != outcome.Unknown {
			t.Errorf("%s: %s %s, want unknown", in.Name, x.Outcome, x.Code)
		}
		told = append(told, x)
	}
	verdict(t, r, told)
}

// P4, P6: numbers sent all through a planned stop of their home, at other
// entries, are all done: by the home until it seals its ledger, by the heir
// from then on; also under a ticket that the home gave out while it stopped.
func TestOnceThroughPlannedStop(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	c := caller(r, 0)
	home := homeOf(t, r, c)
	a, err := c.Addresses()
	must(t, err)
	home.Entry.Stop()
	stopped := make(chan int, 1)
	go func() { stopped <- home.Entry.Wait() }()
	must(t, r.WaitUntil("the home leaves", func() bool {
		late := load.NewCaller(c.Key, "", []string{home.Settings.Entry.HTTP})
		got, err := late.Addresses()
		if err == nil && got.Home != home.Settings.Entry.HTTP {
			a = got // a ticket of the stopping home
			return true
		}
		return err != nil
	}))
	var told []check.Told
	others := others(r, home)
	after := 0
	for n := 1; after < 20; n++ {
		x := again(c, check.Told{Input: fmt.Sprintf("number %d", n), Ticket: fmt.Sprintf("%s.%d", a.Ticket, n)}, others[n%len(others)])
		if x.Outcome != outcome.Done {
			t.Errorf("number %d: %s %s, want done", n, x.Outcome, x.Code)
		}
		told = append(told, x)
		select {
		case code := <-stopped:
			stopped <- code
			after++
		default:
		}
	}
	if code := <-stopped; code != 0 {
		t.Errorf("exit code %d", code)
	}
	t.Logf("%d numbers through the stop, %d after it", len(told), after)
	verdict(t, r, told)
}
