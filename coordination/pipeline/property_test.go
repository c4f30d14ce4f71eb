package pipeline

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// randomRun applies random events to a scheduler and checks its invariants.
type randomRun struct {
	t           *rapid.T
	s           *Scheduler
	now         time.Duration
	calls       map[uint64]Call
	runningCall map[string]uint64 // by replica: the last call, if not answered yet
	ended       map[uint64]bool   // jobs that were delivered, failed or released
	delivered   map[uint64][]string
	unreleased  map[uint64]int  // by admitted job: items of the last stage
	made        map[string]bool // handles that were created
	freed       map[string]bool
	lastNumber  int
}

func (w *randomRun) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Call:
			w.checkCall(a)
		case Deliver:
			if w.ended[a.Job] || w.unreleased[a.Job] == 0 {
				w.t.Fatalf("job %d ends twice, or was never admitted", a.Job)
			}
			if len(a.Handles) != w.unreleased[a.Job] {
				w.t.Fatalf("job %d got %d results of %d", a.Job, len(a.Handles), w.unreleased[a.Job])
			}
			for _, h := range a.Handles {
				if !w.made[h] || w.freed[h] {
					w.t.Fatalf("job %d got %s, which does not exist", a.Job, h)
				}
			}
			w.ended[a.Job], w.delivered[a.Job] = true, a.Handles
		case Fail:
			if w.ended[a.Job] {
				w.t.Fatalf("job %d ends twice", a.Job)
			}
			w.ended[a.Job] = true
			delete(w.unreleased, a.Job)
		case Free:
			for _, h := range a.Handles {
				if !w.made[h] || w.freed[h] {
					w.t.Fatalf("%s is freed twice, or was never made", h)
				}
				w.freed[h] = true
			}
		}
	}
}

func (w *randomRun) checkCall(c Call) {
	if id, busy := w.runningCall[c.Replica]; busy {
		w.t.Fatalf("%s gets call %d while %d is running", c.Replica, c.ID, id)
	}
	if len(c.Items) == 0 || len(c.Items) > w.s.pools[c.Service].def.MaxBatch {
		w.t.Fatalf("a call of %d items", len(c.Items))
	}
	seen := make(map[string]bool)
	for _, i := range c.Items {
		key := fmt.Sprint(i.RequestID, i.Stage, i.Index)
		if seen[key] {
			w.t.Fatalf("one call holds %s twice", key)
		}
		seen[key] = true
		if (i.Key == "") == (len(i.Inputs) == 0) {
			w.t.Fatalf("an item has %d inputs and the key %q", len(i.Inputs), i.Key)
		}
		for _, h := range i.Inputs {
			if !w.made[h] || w.freed[h] {
				w.t.Fatalf("an item reads %q, which was never made or was freed", h)
			}
		}
	}
	w.calls[c.ID], w.runningCall[c.Replica] = c, c.ID
}

// answer ends a call with a random outcome.
func (w *randomRun) answer(c Call) {
	delete(w.calls, c.ID)
	delete(w.runningCall, c.Replica)
	outcome := Outcome(rapid.IntRange(0, int(LinkLost)).Draw(w.t, "outcome"))
	if rapid.Bool().Draw(w.t, "well") {
		outcome = Answered
	}
	var results []Result
	if outcome == Answered {
		for range c.Items {
			w.lastNumber++
			r := Result{Handle: fmt.Sprintf("%s/%d", c.Replica, w.lastNumber)}
			if rapid.IntRange(0, 5).Draw(w.t, "result") == 0 {
				r = Result{Reason: Reason(rapid.IntRange(int(Expired), int(ItemFailed)).Draw(w.t, "reason"))}
			} else {
				w.made[r.Handle] = true
			}
			results = append(results, r)
		}
		if rapid.IntRange(0, 19).Draw(w.t, "short") == 0 {
			results = results[:len(results)-1] // invalid: a result is missing
		}
	}
	w.apply(w.s.FinishCall(w.now, c.ID, outcome, results))
}

// Whatever the outcome of calls and whichever replicas drain, disappear or return: a replica
// has one call at a time, a job ends once and with all its results, no result is used after it
// was freed or freed twice, and the scheduler's counters match its jobs.
func TestRandomEventSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomRun{
			t: t, s: New(), calls: make(map[uint64]Call), runningCall: make(map[string]uint64), ended: make(map[uint64]bool),
			delivered: make(map[uint64][]string), unreleased: make(map[uint64]int), made: make(map[string]bool), freed: make(map[string]bool),
		}
		all := replicas()
		w.apply(w.s.SetPools(0, services(), all))
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				w.submit()
			case 3, 4, 5, 6:
				if c, ok := pickCall(w); ok {
					w.answer(c)
				}
			case 7:
				w.apply(w.s.Tick(w.now))
			case 8:
				w.release()
			case 9:
				r := rapid.IntRange(0, len(all)-1).Draw(t, "replica")
				if rapid.Bool().Draw(t, "leaves") {
					w.s.MarkDraining(all[r].ID)
				}
				listed := append(replicas()[:r:r], all[r+1:]...)
				if rapid.Bool().Draw(t, "listed") {
					listed = all
				}
				w.apply(w.s.SetPools(w.now, services(), listed))
			}
			w.check()
		}
	})
}

func pickCall(w *randomRun) (Call, bool) {
	if len(w.calls) == 0 {
		return Call{}, false
	}
	ids := slices.Sorted(maps.Keys(w.calls))
	return w.calls[ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "call")]], true
}

func (w *randomRun) submit() {
	w.lastNumber++
	j := newTestJob(fmt.Sprint("r", w.lastNumber), rapid.IntRange(1, 6).Draw(w.t, "items"))
	j.Rank = rapid.IntRange(0, 2).Draw(w.t, "rank")
	j.Retry = rapid.Bool().Draw(w.t, "again")
	j.AllowLate = rapid.Bool().Draw(w.t, "allow late")
	last := j.Stages[0].Items
	if rapid.Bool().Draw(w.t, "two") {
		last = rapid.IntRange(1, 3).Draw(w.t, "second")
		j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Items: last, ResultBytes: 10_000})
	}
	v, actions := w.s.Submit(w.now, j)
	if v.Admitted {
		w.unreleased[v.ID] = last
	} else if v.RetryAfter <= 0 {
		w.t.Fatalf("refused without a retry time")
	}
	w.apply(actions)
}

// release ends a job: its request has read the results, or its client has disconnected.
func (w *randomRun) release() {
	var id uint64
	for at := range w.unreleased {
		if id == 0 || at < id {
			id = at
		}
	}
	if id == 0 {
		return
	}
	delete(w.unreleased, id)
	w.ended[id] = true
	w.apply(w.s.Release(w.now, id))
}

// check compares the scheduler's counters with its jobs and calls.
func (w *randomRun) check() {
	for _, p := range w.s.pools {
		waitingSeconds := make(map[int]float64)
		items := make(map[int]int)
		for _, j := range w.s.jobs {
			for _, st := range j.stages {
				for _, x := range st.items {
					if x.inLoad && st.pool == p {
						waitingSeconds[j.rank] += st.itemSeconds
						items[j.rank]++
					}
				}
			}
		}
		for _, l := range p.load {
			if diff := l.waitingSeconds - waitingSeconds[l.rank]; diff > 1e-6 || diff < -1e-6 || l.items != items[l.rank] {
				w.t.Fatalf("%s counts %d items of %v s of rank %d, its jobs have %d of %v s", p.name, l.items, l.waitingSeconds, l.rank, items[l.rank], waitingSeconds[l.rank])
			}
		}
		w.checkMemory(p)
		for _, r := range p.replicas {
			held := int64(0)
			for _, h := range r.results {
				held += h.bytes
			}
			if r.call != nil {
				held += r.call.resultBytes
			}
			if held != r.heldBytes {
				w.t.Fatalf("%s holds %d bytes but counts %d", r.ID, held, r.heldBytes)
			}
		}
	}
}

// checkMemory compares the queued and reserved memory of a pool with its jobs.
func (w *randomRun) checkMemory(p *pool) {
	queuedBytes, reserved := make(map[int]int64), int64(0)
	for _, j := range w.s.jobs {
		for _, n := range j.memoryNeeds {
			switch {
			case n.pool != p:
			case j.started:
				reserved += n.bytes
			default:
				queuedBytes[j.rank] += n.bytes
			}
		}
	}
	if p.memory.reserved != reserved {
		w.t.Fatalf("%s counts %d bytes reserved, its jobs have %d", p.name, p.memory.reserved, reserved)
	}
	for _, l := range p.load {
		if l.queuedBytes != queuedBytes[l.rank] {
			w.t.Fatalf("%s counts %d bytes queued of rank %d, its jobs have %d", p.name, l.queuedBytes, l.rank, queuedBytes[l.rank])
		}
	}
}

// A random sequence showed that removing the last large item of a rank also removed the
// waiting seconds of small items.
func TestRemovingLargeItemsKeepsSmallOnes(t *testing.T) {
	is := is.New(t)
	var l load
	l.forRank(1).add(1)
	l.forRank(1).add(0.1)
	l.forRank(1).remove(1)
	items, seconds := l.itemsAhead(1)
	is.Equal(items, 1)
	is.True(seconds > 0.09)
	l.forRank(1).remove(0.1)
	items, seconds = l.itemsAhead(1)
	is.Equal(items, 0)
	is.Equal(seconds, 0.0)
}
