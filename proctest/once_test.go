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
	storeOp     = "store" // the stage of field-report that must not run twice
	storeMillis = 400     // duration of that stage in ms, long enough for a fault to occur during it
)

// slowStore makes the store stage long enough for a fault to occur during it.
func slowStore(c *upstream.Config) {
	for i := range c.Services {
		if c.Services[i].Name == "field-sync" {
			c.Services[i].MeanMS, c.Services[i].Sigma = storeMillis, 0
		}
	}
}

func fieldReport(input string) load.Request {
	return load.Request{Pipeline: "field-report", Input: input, Deadline: time.Second, Ticketed: true}
}

// homeOf returns the home of a caller's tickets: the instance whose entry issued
// them and alone may run their numbers.
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

// otherInstances returns all instances except home.
func otherInstances(r *rig.Rig, home *rig.Instance) []*rig.Instance {
	var out []*rig.Instance
	for _, in := range r.Instances {
		if in != home {
			out = append(out, in)
		}
	}
	return out
}

// retryAt sends a numbered request again, under the same ticket, to an instance.
func retryAt(c *load.Caller, first check.Response, in *rig.Instance) check.Response {
	q := fieldReport(first.Input)
	q.Ticket, q.Address = first.Ticket, in.Settings.Entry.HTTP
	return c.Do(q)
}

// P4: a number that is sent to every entry at the same time runs once, and all
// its callers receive the answer.
func TestOnceRetriesAtAllEntries(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore})
	c := newCaller(r, 0)
	a, err := c.Addresses()
	must(t, err)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []check.Response
	const numbers = 10
	for n := range numbers {
		for _, in := range r.Instances {
			q := fieldReport(fmt.Sprintf("report %d", n))
			q.Ticket, q.Address = fmt.Sprintf("%s.%d", a.Ticket, 1000+n), in.Settings.Entry.HTTP
			wg.Go(func() {
				x := c.Do(q)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, x)
			})
		}
	}
	wg.Wait()
	checkGuarantees(t, r, answers)
	for _, x := range answers {
		if x.Outcome != outcome.Done {
			t.Errorf("%s: %s %s, want done", x.Ticket, x.Outcome, x.Code)
		}
	}
	if n := countExecutions(t, r, storeOp); n != numbers {
		t.Errorf("%d stores for %d numbers", n, numbers)
	}
}

// P4: a home that is frozen for longer than every timeout and then resumes does
// not run a number again that callers meanwhile retried at other entries.
func TestOnceHomeFrozen(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore})
	c := newCaller(r, 0)
	home := homeOf(t, r, c)
	a, err := c.Addresses()
	must(t, err)
	home.Entry.Freeze()
	q := fieldReport("frozen")
	q.Ticket, q.Address = a.Ticket+".1", home.Settings.Entry.HTTP
	var first check.Response
	var wg sync.WaitGroup
	wg.Go(func() { first = c.Do(q) })
	answers := []check.Response{}
	for _, in := range otherInstances(r, home) {
		x := retryAt(c, check.Response{Input: q.Input, Ticket: q.Ticket}, in)
		if x.Outcome != outcome.Unknown {
			t.Errorf("while the home is frozen: %s %s, want unknown", x.Outcome, x.Code)
		}
		answers = append(answers, x)
	}
	home.Entry.Thaw()
	wg.Wait()
	answers = append(answers, first)
	for _, in := range r.Instances {
		answers = append(answers, retryAt(c, check.Response{Input: q.Input, Ticket: q.Ticket}, in))
	}
	checkGuarantees(t, r, answers)
	if n := countExecutions(t, r, storeOp); n > 1 {
		t.Errorf("%d stores of one number", n)
	}
}

// P4: when a home is killed after it dispatched a number, retries receive the
// outcome unknown or no answer and never cause a second run, also after the home
// has started again as a new incarnation.
func TestOnceHomeKilled(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore})
	c := newCaller(r, 0)
	home := homeOf(t, r, c)
	a, err := c.Addresses()
	must(t, err)
	q := fieldReport("killed")
	q.Ticket, q.Address = a.Ticket+".1", home.Settings.Entry.HTTP
	var first check.Response
	var wg sync.WaitGroup
	wg.Go(func() { first = c.Do(q) })
	waitForExecutions(t, r, storeOp, 1)
	home.Entry.Kill()
	wg.Wait()
	answers := []check.Response{first}
	retry := func() {
		for _, in := range r.Instances {
			x := retryAt(c, check.Response{Input: q.Input, Ticket: q.Ticket}, in)
			if x.Outcome == outcome.Done || x.Outcome == outcome.NotRun {
				t.Errorf("after the kill: %s %s, want unknown or no answer", x.Outcome, x.Code)
			}
			answers = append(answers, x)
		}
	}
	retry()
	must(t, r.StartEntry(home))
	must(t, r.WaitRevision(1))
	retry()
	checkGuarantees(t, r, answers)
}

// P4: entries that are partitioned from the home answer unknown. After the
// partition their callers receive the answer of the one run.
func TestOncePartitionedEntries(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, EditStandins: slowStore, Proxy: true})
	c := newCaller(r, 0)
	home := homeOf(t, r, c)
	route := home.Name + "/entry"
	must(t, r.InjectLinkFault(proxy.Fault{Route: route, Cut: true}))
	a, err := c.Addresses()
	must(t, err)
	first := check.Response{Input: "cut", Ticket: a.Ticket + ".1"}
	var answers []check.Response
	for _, in := range otherInstances(r, home) {
		x := retryAt(c, first, in)
		if x.Outcome != outcome.Unknown {
			t.Errorf("during the partition: %s %s, want unknown", x.Outcome, x.Code)
		}
		answers = append(answers, x)
	}
	// A partition in one direction: the home runs the number, its answers are lost.
	must(t, r.InjectLinkFault(proxy.Fault{Route: route, DropOut: true}))
	answers = append(answers, retryAt(c, first, otherInstances(r, home)[0]))
	must(t, r.InjectLinkFault(proxy.Fault{Route: route}))
	must(t, r.WaitUntil("an answer after the partition", func() bool {
		x := retryAt(c, first, otherInstances(r, home)[1])
		answers = append(answers, x)
		return x.Outcome == outcome.Done
	}))
	checkGuarantees(t, r, answers)
	if n := countExecutions(t, r, storeOp); n != 1 {
		t.Errorf("%d stores of one number", n)
	}
}

// P4: when an upstream runs a request and closes the connection without an
// answer, the request is not sent again, neither by the entry nor for a retry
// with the same ticket.
func TestOnceUpstreamHangsUp(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	for i := range 6 {
		must(t, r.InjectUpstreamFault(upstream.Fault{Replica: fmt.Sprintf("field-sync-%d", i), HangUp: true}))
	}
	c := newCaller(r, 0)
	var answers []check.Response
	const numbers = 20
	for n := range numbers {
		x := c.Do(fieldReport(fmt.Sprintf("report %d", n)))
		if x.Outcome != outcome.Unknown {
			t.Errorf("%s %s, want unknown", x.Outcome, x.Code)
		}
		answers = append(answers, x, retryAt(c, x, r.Instances[n%len(r.Instances)]))
	}
	checkGuarantees(t, r, answers)
	if n := countExecutions(t, r, storeOp); n != numbers {
		t.Errorf("%d stores for %d numbers", n, numbers)
	}
}

// P4: after a planned stop the home's successor answers numbers that have run
// from the home's ledger and runs new ones; no number runs twice.
func TestOnceSuccessor(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	c := newCaller(r, 0)
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
	answers := []check.Response{first}
	for _, in := range otherInstances(r, home) {
		x := retryAt(c, first, in)
		if x.Outcome != outcome.Done || x.Digest != first.Digest {
			t.Errorf("a retry after the stop: %s %s, want the first answer", x.Outcome, x.Code)
		}
		answers = append(answers, x)
	}
	unsent := check.Response{Input: "after", Ticket: a.Ticket + ".77"}
	for _, in := range otherInstances(r, home) {
		x := retryAt(c, unsent, in)
		if x.Outcome != outcome.Done {
			t.Errorf("a new number after the stop: %s %s, want done by the successor", x.Outcome, x.Code)
		}
		answers = append(answers, x)
	}
	checkGuarantees(t, r, answers)
	if n := countExecutions(t, r, storeOp); n != 2 {
		t.Errorf("%d stores of two numbers", n)
	}
}

// P3, P4: a number that has run is not answered with not_run when its pipeline
// is no longer declared: its caller would send the request again under another
// number, and it would run twice.
func TestOnceAfterPipelineRemoval(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	c := newCaller(r, 0)
	first := c.Do(fieldReport("before"))
	if first.Outcome != outcome.Done {
		t.Fatalf("%s %s", first.Outcome, first.Code)
	}
	_, err := r.Confirm(strings.Replace(r.Declaration, `name = "field-report"`, `name = "field-note"`, 1))
	must(t, err)
	answers := []check.Response{first}
	for _, in := range r.Instances {
		x := retryAt(c, first, in)
		if x.Outcome != outcome.Unknown {
			t.Errorf("%s: %s %s, want unknown", in.Name, x.Outcome, x.Code)
		}
		answers = append(answers, x)
	}
	checkGuarantees(t, r, answers)
}

// P4, P6: numbers that are sent to other entries throughout a planned stop of
// their home are all done: by the home until it seals its ledger, then by its
// successor. This includes numbers of a ticket that the home issued while it was
// stopping.
func TestOnceThroughPlannedStop(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	c := newCaller(r, 0)
	home := homeOf(t, r, c)
	a, err := c.Addresses()
	must(t, err)
	home.Entry.Stop()
	stopped := make(chan int, 1)
	go func() { stopped <- home.Entry.Wait() }()
	must(t, r.WaitUntil("the home stopping", func() bool {
		newcomer := load.NewCaller(c.Key, "", []string{home.Settings.Entry.HTTP})
		received, err := newcomer.Addresses()
		if err == nil && received.Home != home.Settings.Entry.HTTP {
			a = received // a ticket issued by the stopping home
			return true
		}
		return err != nil
	}))
	var answers []check.Response
	others := otherInstances(r, home)
	answeredAfterStop := 0
	for n := 1; answeredAfterStop < 20; n++ {
		x := retryAt(c, check.Response{Input: fmt.Sprintf("number %d", n), Ticket: fmt.Sprintf("%s.%d", a.Ticket, n)}, others[n%len(others)])
		if x.Outcome != outcome.Done {
			t.Errorf("number %d: %s %s, want done", n, x.Outcome, x.Code)
		}
		answers = append(answers, x)
		select {
		case code := <-stopped:
			stopped <- code
			answeredAfterStop++
		default:
		}
	}
	if code := <-stopped; code != 0 {
		t.Errorf("exit code %d", code)
	}
	t.Logf("%d numbers sent since the stop began, %d after its end", len(answers), answeredAfterStop)
	checkGuarantees(t, r, answers)
}
