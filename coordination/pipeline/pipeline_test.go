package pipeline

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
)

const ms = time.Millisecond

// pools: read has two replicas in two halls, rank one in each too.
func services() map[string]*catalog.Service {
	pool := func(batch int, room int64) *catalog.Service {
		return &catalog.Service{Pool: &catalog.Pool{
			Slots: 1, QueueLimit: 2, MaxBatch: batch, BatchTime: 200 * ms, ItemTime: 20 * ms, ResultMemory: room, ResultTTL: 4 * time.Second,
		}}
	}
	return map[string]*catalog.Service{"read": pool(4, 4_000_000), "rank": pool(8, 8_000_000), "plain": {}}
}

func replicas() []catalog.Replica {
	var out []catalog.Replica
	for _, service := range []string{"read", "rank"} {
		for _, hall := range []string{"a", "b"} {
			id := service + "-" + hall
			out = append(out, catalog.Replica{ID: id, Service: service, Hall: hall, Address: id + ":1"})
		}
	}
	return out
}

// bench drives a scheduler: it keeps the calls under way and what was delivered.
type bench struct {
	t         *testing.T
	s         *Scheduler
	now       time.Duration
	calls     map[string]Call // by replica
	delivered map[uint64][]string
	failed    map[uint64]Fail
	freed     []string
	made      int
}

func newBench(t *testing.T, opts ...Option) *bench {
	b := &bench{t: t, s: New(opts...), calls: make(map[string]Call), delivered: make(map[uint64][]string), failed: make(map[uint64]Fail)}
	b.do(b.s.SetPools(0, services(), replicas()))
	return b
}

func (b *bench) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Call:
			if c, busy := b.calls[a.Replica]; busy {
				b.t.Errorf("%s got call %d while call %d is at work", a.Replica, a.ID, c.ID)
			}
			b.calls[a.Replica] = a
		case Deliver:
			if _, twice := b.delivered[a.Job]; twice {
				b.t.Errorf("job %d was delivered twice", a.Job)
			}
			b.delivered[a.Job] = a.Handles
		case Fail:
			b.failed[a.Job] = a
		case Free:
			b.freed = append(b.freed, a.Handles...)
		}
	}
}

func (b *bench) submit(j Job) Verdict {
	v, actions := b.s.Submit(b.now, j)
	b.do(actions)
	return v
}

// answer ends a replica's call; reasons are those of its first items.
func (b *bench) answer(replica string, fate Fate, reasons ...Reason) {
	b.t.Helper()
	c, ok := b.calls[replica]
	if !ok {
		b.t.Fatalf("%s has no call", replica)
	}
	delete(b.calls, replica)
	var results []Result
	if fate == Answered {
		for i := range c.Items {
			b.made++
			r := Result{Handle: fmt.Sprintf("%s/%d", replica, b.made)}
			if i < len(reasons) && reasons[i] != NoReason {
				r = Result{Reason: reasons[i]}
			}
			results = append(results, r)
		}
	}
	b.do(b.s.Answer(b.now, c.ID, fate, results))
}

// atWork returns a replica of a service that has a call; "" when none has.
func (b *bench) atWork(service string) string {
	for id := range b.calls {
		if strings.HasPrefix(id, service) {
			return id
		}
	}
	return ""
}

// working returns how many replicas of a service have a call.
func (b *bench) working(service string) int {
	n := 0
	for id := range b.calls {
		if strings.HasPrefix(id, service) {
			n++
		}
	}
	return n
}

func (b *bench) tick(d time.Duration) {
	b.now += d
	b.do(b.s.Tick(b.now))
}

func newTestJob(id string, pieces int) Job {
	return Job{
		RequestID: id, Key: "key-" + id, Objective: 2 * time.Second, Deadline: 8 * time.Second,
		Stages: []Stage{{Service: "read", Pieces: pieces, Bytes: 10_000}},
	}
}

func TestPiecesOfManyRequestsShareACall(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for i := range 2 { // both replicas get work at once
		is.True(b.submit(newTestJob(fmt.Sprint("first", i), 1)).Admitted)
	}
	for i := range 4 {
		b.submit(newTestJob(fmt.Sprint("next", i), 1))
	}
	b.now = 220 * ms
	b.answer("read-a", Answered)
	is.Equal(len(b.calls["read-a"].Items), 4) // all that waited, in one call
}

func TestStagesFollowEachOtherAndResultsAreFreed(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	j := newTestJob("r", 2)
	j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Pieces: 1, Bytes: 10_000})
	v := b.submit(j)
	is.True(v.Admitted)
	replica := "read-a"
	if _, ok := b.calls[replica]; !ok {
		replica = "read-b"
	}
	is.Equal(b.calls[replica].Items[0].Key, "key-r")
	b.now = 240 * ms
	b.answer(replica, Answered)
	next := "rank-a"
	if _, ok := b.calls[next]; !ok {
		next = "rank-b"
	}
	is.Equal(len(b.calls[next].Items[0].Inputs), 2)
	is.Equal(b.calls[next].Items[0].Key, "") // only stages without inputs carry it
	b.now = 480 * ms
	b.answer(next, Answered)
	is.Equal(len(b.delivered[v.ID]), 1)
	is.Equal(len(b.freed), 2) // the inputs, their last reader has them
	b.do(b.s.Release(b.now, v.ID))
	is.Equal(len(b.freed), 3)
	is.Equal(b.s.Jobs(), 0)
}

func TestAPieceOfALostCallRunsElsewhere(t *testing.T) {
	for _, fate := range []Fate{Refused, Stranger, Unreachable, Broken, Overdue} {
		b := newBench(t)
		v := b.submit(newTestJob("r", 1))
		first, second := "read-a", "read-b"
		if _, ok := b.calls[first]; !ok {
			first, second = second, first
		}
		b.answer(first, fate)
		if _, ok := b.calls[second]; !ok {
			t.Fatalf("fate %d: the piece is not sent elsewhere", fate)
		}
		b.answer(second, Answered)
		if len(b.delivered[v.ID]) != 1 {
			t.Errorf("fate %d: not delivered", fate)
		}
	}
}

func TestACallThatTakesTooLongIsRunElsewhereToo(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	v := b.submit(newTestJob("r", 1))
	first, second := "read-a", "read-b"
	if _, ok := b.calls[first]; !ok {
		first, second = second, first
	}
	b.tick(time.Second)
	_, ok := b.calls[second]
	is.True(ok)
	b.answer(second, Answered)
	is.Equal(len(b.delivered[v.ID]), 1)
	b.answer(first, Answered) // late, of no use
	is.Equal(len(b.freed), 1)
}

func TestAGoneInputIsMadeAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	j := newTestJob("r", 1)
	j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Pieces: 1, Bytes: 10_000})
	v := b.submit(j)
	run := func(service string, reasons ...Reason) {
		for _, hall := range []string{"a", "b"} {
			if _, ok := b.calls[service+"-"+hall]; ok {
				b.answer(service+"-"+hall, Answered, reasons...)
				return
			}
		}
		t.Fatalf("no call of %s", service)
	}
	run("read")
	run("rank", InputGone)
	run("read")
	run("rank")
	is.Equal(len(b.delivered[v.ID]), 1)
}

// A scale day of kld held 119 requests to their deadline behind those in time.
func TestALateJobThatNobodyBeganEndsAtItsObjective(t *testing.T) {
	is := is.New(t)
	b := newBench(t, Margin(100))
	for i := range 2 {
		b.submit(newTestJob(fmt.Sprint("first", i), 4))
	}
	late := b.submit(newTestJob("late", 1))
	is.True(late.Admitted)
	b.tick(2100 * ms)
	_, ended := b.failed[late.ID]
	is.True(ended)
}

func TestALateJobUnderWayGoesOnBehindTheOthersForAWhile(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	v := b.submit(newTestJob("r", 1))
	b.tick(2100 * ms)
	_, ended := b.failed[v.ID]
	is.True(!ended)
	b.tick(1600 * ms)
	_, ended = b.failed[v.ID]
	is.True(ended)
}

// After all instances were killed, replicas still held the results of an owner
// that was gone: calls of eight pieces found room for one.
// A job whose stages have not begun by the time at which they must is given up
// at once: its client is told before its time is over.
func TestAJobThatCanNotBeInTimeAnyMoreIsGivenUpAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.submit(newTestJob("a", 1))
	b.submit(newTestJob("b", 1)) // both replicas are at work, and never answer
	waits := b.submit(newTestJob("waits", 1))
	is.True(waits.Admitted)
	latest := 2*time.Second - b.s.jobs[waits.ID].stages[0].duration()
	b.tick(latest)
	is.Equal(b.failed[waits.ID].Why, "")
	b.tick(10 * ms)
	is.Equal(b.failed[waits.ID].Why, "late")
	is.True(b.failed[waits.ID].RetryAfter > 0)
}

// One that has begun goes on behind those that can still be in time.
func TestAJobUnderWayThatWillBeLateStandsBack(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	late := newTestJob("late", 1)
	late.Stages = append(late.Stages, Stage{Service: "rank", After: []int{0}, Pieces: 1, Bytes: 10_000})
	v := b.submit(late)
	is.True(v.Admitted)
	first := "read-a"
	if _, ok := b.calls[first]; !ok {
		first = "read-b"
	}
	b.tick(1900 * ms) // its second stage can't end in time, though the job is not due yet
	is.Equal(b.s.jobs[v.ID].rank, lateRank)
	is.Equal(b.failed[v.ID].Why, "")
	b.answer(first, Answered)
	is.True(len(b.calls) > 0) // it goes on while nobody else waits
}

func TestRoomThatOthersHoldIsLearnt(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	big := func(id string) Job {
		j := newTestJob(id, 4)
		j.Stages[0].Bytes = 1_000_000
		j.Hall = "a"
		return j
	}
	b.submit(big("r"))
	is.Equal(len(b.calls["read-a"].Items), 4)
	b.now = 210 * ms
	b.answer("read-a", Answered, NoReason, NoRoom, NoRoom, NoRoom)
	b.tick(150 * ms)
	for i := range 4 {
		b.submit(big(fmt.Sprint(i)))
	}
	for replica, c := range b.calls {
		is.True(replica != "read-a" || len(c.Items) == 0) // room for four: one taken, others hold three
	}
	b.tick(2100 * ms) // half of what they held has run out
	is.Equal(len(b.calls["read-a"].Items), 1)
}

func TestRoomBoundsACall(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	j := newTestJob("r", 4)
	j.Stages[0].Bytes = 1_500_000 // two fit
	b.submit(j)
	is.True(len(b.calls["read-a"].Items) <= 2)
}

func TestMoreThanThePoolCanDoIsRefusedAtOnceWithATime(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	refused := 0
	for i := range 60 {
		v := b.submit(newTestJob(fmt.Sprint(i), 4))
		if v.Admitted {
			continue
		}
		refused++
		is.True(v.RetryAfter > 0)
	}
	is.True(refused > 20)
	is.True(refused < 60)
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for i := range 2 {
		b.submit(newTestJob(fmt.Sprint("first", i), 4))
	}
	for i := range 3 {
		j := newTestJob(fmt.Sprint("low", i), 4)
		j.Rank = 2
		b.submit(j)
	}
	b.submit(newTestJob("high", 1))
	b.now = 280 * ms
	b.answer("read-a", Answered)
	is.Equal(b.calls["read-a"].Items[0].RequestID, "high")
}

func TestPiecesRunInTheHallOfWhatTheyRead(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for i := range 6 {
		j := newTestJob(fmt.Sprint(i), 1)
		j.Stages[0].Bytes = 400_000
		j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Pieces: 2, Bytes: 1000})
		b.submit(j)
	}
	for range 8 {
		for _, r := range []string{"read-a", "read-b", "rank-a", "rank-b"} {
			c, ok := b.calls[r]
			if !ok {
				continue
			}
			for _, item := range c.Items {
				for _, in := range item.Inputs {
					is.Equal(in[len("read-")], r[len("rank-")])
				}
			}
			b.now += 60 * ms
			b.answer(r, Answered)
		}
	}
	is.Equal(len(b.delivered), 6)
}

func TestALeavingReplicaGetsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.s.Leaving("read-a")
	for i := range 4 {
		b.submit(newTestJob(fmt.Sprint(i), 2))
	}
	_, ok := b.calls["read-a"]
	is.True(!ok)
	list := replicas()
	b.do(b.s.SetPools(b.now, services(), list)) // a lagging list does not bring it back
	_, ok = b.calls["read-a"]
	is.True(!ok)
}

// A new owner met replicas that the last one had left full or at work.
func TestANewOwnerLeavesWhatTheLastOneLeft(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.s.Seen(0, "read-a", 1_000_000, false) // one of four megabytes is free
	b.s.Seen(0, "read-b", 4_000_000, true)  // at work for somebody else
	j := newTestJob("r", 4)
	j.Stages[0].Bytes = 1_000_000
	b.submit(j)
	is.Equal(len(b.calls["read-a"].Items), 1)
	_, ok := b.calls["read-b"]
	is.True(!ok)
	b.tick(210 * ms)
	is.True(len(b.calls["read-b"].Items) > 0)
}

// When the owner changed on a rolling restart, the new one saw every replica at
// work for the last one and refused all requests for want of replicas.
func TestReplicasAtWorkForAnotherOwnerAreCapacity(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for _, r := range replicas() {
		b.s.Seen(b.now, r.ID, 4_000_000, true)
	}
	v := b.submit(newTestJob("r", 1))
	is.True(v.Admitted)
	is.True(v.Expected > 200*ms) // they are waited for
	is.Equal(len(b.calls), 0)
	b.tick(250 * ms)
	is.Equal(len(b.calls), 1)
}

// A pool whose replicas have all just said that they are full has room soon;
// one whose replicas all fail has none.
func TestFullReplicasAreCapacityFailingOnesAreNot(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		fate     Fate
		admitted bool
	}{{Refused, true}, {Broken, false}} {
		b := newBench(t)
		for _, r := range []string{"read-a", "read-b"} {
			for range 2 { // its second failure makes a longer pause
				b.submit(newTestJob("a", 1))
				b.submit(newTestJob("b", 1))
				if _, ok := b.calls[r]; ok {
					b.answer(r, c.fate)
				}
			}
		}
		is.Equal(b.submit(newTestJob("next", 1)).Admitted, c.admitted)
	}
}

// What is less urgent is overtaken by what is more urgent and arrives later:
// what arrived lately tells how much of that there will be.
func TestAdmissionForeseesThatItIsOvertaken(t *testing.T) {
	is := is.New(t)
	urgentEach := func(each time.Duration) Verdict {
		b := newBench(t)
		for b.now = 0; b.now < 4*time.Second; b.now += 50 * ms {
			if each > 0 && b.now%each == 0 {
				j := newTestJob(fmt.Sprint(b.now), 3)
				j.Rank = 1
				b.submit(j)
			}
			for replica, c := range b.calls {
				if b.now-b.s.calls[c.ID].sent >= 250*ms {
					b.answer(replica, Answered)
				}
			}
			b.tick(0)
		}
		for range 3 { // what waits there already
			j := newTestJob("waits", 4)
			j.Rank = 2
			b.submit(j)
		}
		j := newTestJob("asks", 2)
		j.Rank = 2
		return b.submit(j)
	}
	quiet, busy := urgentEach(0), urgentEach(200*ms)
	is.True(quiet.Admitted)
	is.True(busy.Expected > quiet.Expected*3/2)
}

// A large result that only the request reads lay for a second and more in its
// replica's room while the job's other stages ran, and others found none.
func TestLargeResultsAreMadeWhenTheRequestIsAboutToReadThem(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	j := newTestJob("r", 1)
	j.Stages[0].Bytes = 1_000_000 // read by the request alone
	j.Stages = append(j.Stages, Stage{Service: "rank", Pieces: 1, Bytes: 10_000},
		Stage{Service: "rank", After: []int{1}, Pieces: 1, Bytes: 10_000},
		Stage{Service: "rank", After: []int{2}, Pieces: 1, Bytes: 10_000})
	is.True(b.submit(j).Admitted)
	for stage := 1; stage < 3; stage++ {
		is.Equal(b.working("read"), 0) // more stages are to come than its own time covers
		b.now += 220 * ms
		b.answer(b.atWork("rank"), Answered)
		if stage == 1 {
			is.Equal(b.working("read"), 0)
		}
	}
	is.Equal(b.working("read"), 1) // one stage is left, as long as its own

	small := newTestJob("s", 1) // with small results nothing is held back
	small.Stages = append(small.Stages, j.Stages[1:]...)
	is.True(b.submit(small).Admitted)
	is.Equal(b.working("read"), 2)
}

// Calls with one piece of work that had a second to spare kept every replica
// at work, and urgent pieces waited for a call's end.
func TestTheLastIdleReplicaIsKeptForUrgentWork(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	list := append(replicas(), catalog.Replica{ID: "read-c", Service: "read", Hall: "a", Address: "read-c:1"})
	b.do(b.s.SetPools(0, services(), list))
	urgent := func(id string) Job {
		j := newTestJob(id, 1)
		j.Objective = 600 * ms
		return j
	}
	patient := func(id string, pieces int) Job {
		j := newTestJob(id, pieces)
		j.Rank = 5
		return j
	}
	is.True(b.submit(urgent("first")).Admitted)
	is.True(b.submit(patient("second", 1)).Admitted)
	is.Equal(b.working("read"), 2)
	is.True(b.submit(patient("third", 1)).Admitted)
	is.Equal(b.working("read"), 2) // it has time
	is.True(b.submit(urgent("fourth")).Admitted)
	is.Equal(b.working("read"), 3)

	b.now = 220 * ms
	b.answer("read-a", Answered)
	is.True(b.submit(patient("fifth", 2)).Admitted)
	is.Equal(b.working("read"), 3) // half a batch is worth a call
}

func TestWhatHasWaitedLongTakesTheLastIdleReplica(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	list := append(replicas(), catalog.Replica{ID: "read-c", Service: "read", Hall: "a", Address: "read-c:1"})
	b.do(b.s.SetPools(0, services(), list))
	for i := range 2 {
		is.True(b.submit(newTestJob(fmt.Sprint(i), 1)).Admitted)
	}
	j := newTestJob("patient", 1)
	j.Rank = 5
	is.True(b.submit(j).Admitted)
	is.Equal(b.working("read"), 2)
	for range 30 { // 1.5 s, of 2 s that it has
		b.tick(50 * ms)
	}
	is.Equal(b.working("read"), 3)
}

// Jobs that came back with a long deadline were admitted although they would
// be given up as late on the way, with half of their stages done.
func TestWhoCameBackIsNotAdmittedToBeGivenUpOnTheWay(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for i := range 6 {
		j := newTestJob(fmt.Sprint(i), 4)
		j.Objective = time.Minute // 24 pieces wait, about 0.9 s for two replicas
		is.True(b.submit(j).Admitted)
	}
	back := func(objective time.Duration) Job {
		j := newTestJob("back", 1)
		j.Again, j.Objective, j.Deadline = true, objective, 20*time.Second
		return j
	}
	is.True(!b.submit(back(500 * ms)).Admitted)
	is.True(b.submit(back(900 * ms)).Admitted) // late perhaps, not by much
}

// Pieces waited for a replica of their own hall, while others stood idle, until
// no wait at all was left: any longer call made them late.
func TestAPieceLeavesItsHallWhenItCouldBeLateThere(t *testing.T) {
	is := is.New(t)
	var b *bench
	near := func(id string, objective time.Duration) Job {
		j := newTestJob(id, 4)
		j.Stages[0].Bytes = 1_000_000 // worth its hall
		j.Hall, j.Objective = "a", objective
		return j
	}
	for _, c := range []struct {
		objective time.Duration // of which 280 ms are its own call
		working   int
	}{
		{2 * time.Second, 1}, // its hall is free long before it must begin
		{900 * ms, 2},        // it could begin in time there, but not by much
	} {
		b = newBench(t)
		is.True(b.submit(near("first", 2*time.Second)).Admitted)
		is.Equal(len(b.calls["read-a"].Items), 4) // until 280 ms
		is.True(b.submit(near("second", c.objective)).Admitted)
		is.Equal(b.working("read"), c.working)
	}
}

// crowd lets one piece come at each step, for so many steps, to eight replicas
// that end their calls when these are due.
func (b *bench) crowd(steps int, every time.Duration) {
	list := replicas()
	for i := range 6 {
		id := fmt.Sprint("read-", i)
		list = append(list, catalog.Replica{ID: id, Service: "read", Hall: "a", Address: id + ":1"})
	}
	b.do(b.s.SetPools(0, services(), list))
	for i := range steps {
		b.step(newTestJob(fmt.Sprint(i), 1), every)
	}
}

// step ends the calls that are due, submits a job and lets some time pass.
func (b *bench) step(j Job, every time.Duration) Verdict {
	for _, r := range slices.Sorted(maps.Keys(b.calls)) {
		if b.now >= b.s.calls[b.calls[r].ID].due {
			b.answer(r, Answered)
		}
	}
	v := b.submit(j)
	b.tick(every)
	return v
}

// On calm days pools were at work all the time with calls a third full: each
// idle replica took whatever waited, and what had no time found none idle.
func TestPiecesThatHaveTimeWaitForAFullerCallUnderLoad(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.crowd(200, 20*ms) // 50 pieces a second; 8 replicas carry 36 of them in calls of one
	is.True(b.working("read") < 8)
	for _, c := range b.calls {
		is.True(len(c.Items) >= 2)
	}
	urgent := newTestJob("urgent", 1)
	urgent.Objective = 500 * ms // 248 of which are its own call
	is.True(b.step(urgent, 20*ms).Admitted)
	begun := false
	for _, c := range b.calls {
		begun = begun || c.Items[0].RequestID == "urgent"
	}
	is.True(begun) // at once, with those that waited
}

// Work that goes before and still comes was taken off the pool's replicas at
// the pace of calls a third full, so the least urgent was refused for a second
// that there was: calls fill up, and have places left.
func TestTheLeastUrgentIsNotRefusedForWorkThatFillsCallsUp(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.crowd(200, 14*ms) // 71 pieces a second, of 114 that full calls carry
	least := newTestJob("least", 2)
	least.Rank, least.Objective = 5, 700*ms
	came := b.now
	v := b.step(least, 14*ms)
	is.True(v.Admitted)
	for i := 0; b.delivered[v.ID] == nil && i < 100; i++ {
		b.step(newTestJob(fmt.Sprint("more", i), 1), 14*ms)
	}
	took := b.now - came
	is.True(took <= least.Objective)
	is.True((took - v.Expected).Abs() < 200*ms) // less than a call
}

// Calls that were stated to take seconds and end in some milliseconds made
// pieces wait for company for seconds: three requests were served in the time of fifty.
func TestCallsThatEndFarSoonerThanStatedAreNotWaitedFor(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	p := b.s.pools["read"]
	p.def.BatchTime = 2 * time.Second
	r := p.order[0]
	c := &call{pool: p, replica: r, pieces: []*piece{{stage: &stage{def: Stage{Bytes: 1}}}}}
	p.learn(r, c, 5*ms, false) // what failed at once tells little
	is.True(r.speed > 0.5)
	for _, r := range p.order {
		p.learn(r, c, 5*ms, true)
	}
	p.load.of(0).arrives(b.now, 20, p.item(1)) // ten a second
	is.True(p.fill(b.now, &b.s.opts) < 1)      // 0.85 of a replica is idle in any case
	for range 10 {
		p.learn(r, c, 2*time.Second, true) // and one that slows down shows as before
	}
	is.True(r.speed > 0.9)
}
