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

// world drives a scheduler by random events and keeps what must hold of it.
type world struct {
	t         *rapid.T
	s         *Scheduler
	now       time.Duration
	calls     map[uint64]Call
	atWork    map[string]uint64 // by replica: the call that was sent last and not answered
	ended     map[uint64]bool   // jobs that were delivered or failed
	delivered map[uint64][]string
	live      map[uint64]int  // admitted and not released: pieces of the last stage
	made      map[string]bool // handles that exist at their makers
	freed     map[string]bool
	next      int
}

func (w *world) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Call:
			w.called(a)
		case Deliver:
			if w.ended[a.Job] || w.live[a.Job] == 0 {
				w.t.Fatalf("job %d ends twice, or was never admitted", a.Job)
			}
			if len(a.Handles) != w.live[a.Job] {
				w.t.Fatalf("job %d is given %d results of %d", a.Job, len(a.Handles), w.live[a.Job])
			}
			for _, h := range a.Handles {
				if !w.made[h] || w.freed[h] {
					w.t.Fatalf("job %d is given %s, which is not there", a.Job, h)
				}
			}
			w.ended[a.Job], w.delivered[a.Job] = true, a.Handles
		case Fail:
			if w.ended[a.Job] {
				w.t.Fatalf("job %d ends twice", a.Job)
			}
			w.ended[a.Job] = true
			delete(w.live, a.Job)
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

func (w *world) called(c Call) {
	if id, busy := w.atWork[c.Replica]; busy {
		w.t.Fatalf("%s gets call %d while %d is at work", c.Replica, c.ID, id)
	}
	if len(c.Items) == 0 || len(c.Items) > w.s.pools[c.Service].def.MaxBatch {
		w.t.Fatalf("a call of %d pieces", len(c.Items))
	}
	seen := make(map[string]bool)
	for _, i := range c.Items {
		key := fmt.Sprint(i.RequestID, i.Stage, i.Index)
		if seen[key] {
			w.t.Fatalf("one call holds %s twice", key)
		}
		seen[key] = true
		if (i.Key == "") == (len(i.Inputs) == 0) {
			w.t.Fatalf("a piece has %d inputs and the key %q", len(i.Inputs), i.Key)
		}
		for _, h := range i.Inputs {
			if w.freed[h] {
				w.t.Fatalf("a piece reads %s, which was freed", h)
			}
		}
	}
	w.calls[c.ID], w.atWork[c.Replica] = c, c.ID
}

// answer ends a call in any way it may end.
func (w *world) answer(c Call) {
	delete(w.calls, c.ID)
	delete(w.atWork, c.Replica)
	fate := Fate(rapid.IntRange(0, int(Overdue)).Draw(w.t, "fate"))
	if rapid.Bool().Draw(w.t, "well") {
		fate = Answered
	}
	var results []Result
	if fate == Answered {
		for range c.Items {
			w.next++
			r := Result{Handle: fmt.Sprintf("%s/%d", c.Replica, w.next)}
			if rapid.IntRange(0, 5).Draw(w.t, "piece") == 0 {
				r = Result{Reason: Reason(rapid.IntRange(int(Late), int(PieceError)).Draw(w.t, "reason"))}
			} else {
				w.made[r.Handle] = true
			}
			results = append(results, r)
		}
		if rapid.IntRange(0, 19).Draw(w.t, "short") == 0 {
			results = results[:len(results)-1] // an answer that can't be
		}
	}
	w.do(w.s.Answer(w.now, c.ID, fate, results))
}

// Whatever replicas answer, lose, refuse or deny, whoever leaves, comes back or
// goes: a replica has one call, a job ends once and with all its results, no
// result is used after it was freed or freed twice, and the books are even.
func TestStepsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, s: New(), calls: make(map[uint64]Call), atWork: make(map[string]uint64), ended: make(map[uint64]bool),
			delivered: make(map[uint64][]string), live: make(map[uint64]int), made: make(map[string]bool), freed: make(map[string]bool),
		}
		all := replicas()
		w.do(w.s.SetPools(0, services(), all))
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
				w.do(w.s.Tick(w.now))
			case 8:
				w.release()
			case 9:
				r := rapid.IntRange(0, len(all)-1).Draw(t, "replica")
				if rapid.Bool().Draw(t, "leaves") {
					w.s.Leaving(all[r].ID)
				}
				listed := append(replicas()[:r:r], all[r+1:]...)
				if rapid.Bool().Draw(t, "listed") {
					listed = all
				}
				w.do(w.s.SetPools(w.now, services(), listed))
			}
			w.check()
		}
	})
}

func pickCall(w *world) (Call, bool) {
	if len(w.calls) == 0 {
		return Call{}, false
	}
	ids := slices.Sorted(maps.Keys(w.calls))
	return w.calls[ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "call")]], true
}

func (w *world) submit() {
	w.next++
	j := newTestJob(fmt.Sprint("r", w.next), rapid.IntRange(1, 6).Draw(w.t, "pieces"))
	j.Rank = rapid.IntRange(0, 2).Draw(w.t, "rank")
	j.Again = rapid.Bool().Draw(w.t, "again")
	j.LateToo = rapid.Bool().Draw(w.t, "late too")
	last := j.Stages[0].Pieces
	if rapid.Bool().Draw(w.t, "two") {
		last = rapid.IntRange(1, 3).Draw(w.t, "second")
		j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Pieces: last, Bytes: 10_000})
	}
	v, actions := w.s.Submit(w.now, j)
	if v.Admitted {
		w.live[v.ID] = last
	} else if v.RetryAfter <= 0 {
		w.t.Fatalf("refused without a time to come back")
	}
	w.do(actions)
}

// release ends a job: its request has read the results, or its client has gone.
func (w *world) release() {
	var id uint64
	for at := range w.live {
		if id == 0 || at < id {
			id = at
		}
	}
	if id == 0 {
		return
	}
	delete(w.live, id)
	w.ended[id] = true
	w.do(w.s.Release(w.now, id))
}

// check holds the scheduler's books against what it did.
func (w *world) check() {
	for _, p := range w.s.pools {
		waiting := make(map[int]float64)
		pieces := make(map[int]int)
		for _, j := range w.s.jobs {
			for _, st := range j.stages {
				for _, x := range st.pieces {
					if x.counted && st.pool == p {
						waiting[j.rank] += st.item
						pieces[j.rank]++
					}
				}
			}
		}
		for _, l := range p.load {
			if diff := l.waiting - waiting[l.rank]; diff > 1e-6 || diff < -1e-6 || l.pieces != pieces[l.rank] {
				w.t.Fatalf("%s holds %d pieces of %v s of rank %d, its jobs %d of %v s", p.name, l.pieces, l.waiting, l.rank, pieces[l.rank], waiting[l.rank])
			}
		}
		w.checkRoom(p)
		for _, r := range p.replicas {
			held := int64(0)
			for _, h := range r.results {
				held += h.bytes
			}
			if r.call != nil {
				held += r.call.bytes
			}
			if held != r.held {
				w.t.Fatalf("%s holds %d bytes, its books say %d", r.ID, held, r.held)
			}
		}
	}
}

// checkRoom holds what a pool knows of the room that jobs want and take against the jobs.
func (w *world) checkRoom(p *pool) {
	wanted, begun := make(map[int]int64), int64(0)
	for _, j := range w.s.jobs {
		for _, n := range j.needs {
			switch {
			case n.pool != p:
			case j.begun:
				begun += n.bytes
			default:
				wanted[j.rank] += n.bytes
			}
		}
	}
	if p.room.begun != begun {
		w.t.Fatalf("%s holds %d bytes begun, its jobs %d", p.name, p.room.begun, begun)
	}
	for _, l := range p.load {
		if l.room != wanted[l.rank] {
			w.t.Fatalf("%s holds %d bytes wanted of rank %d, its jobs %d", p.name, l.room, l.rank, wanted[l.rank])
		}
	}
}

// A random sequence found that the last large piece of a rank took the small
// ones that still waited out of the books.
func TestSmallWorkStaysWhenLargeWorkGoes(t *testing.T) {
	is := is.New(t)
	var l load
	l.of(1).add(1)
	l.of(1).add(0.1)
	l.of(1).drop(1)
	pieces, items := l.before(1)
	is.Equal(pieces, 1)
	is.True(items > 0.09)
	l.of(1).drop(0.1)
	pieces, items = l.before(1)
	is.Equal(pieces, 0)
	is.Equal(items, 0.0)
}
