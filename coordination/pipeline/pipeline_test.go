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

// services returns the pools read and rank; each has one replica in each of two halls.
func services() map[string]*catalog.Service {
	pool := func(batch int, memory int64) *catalog.Service {
		return &catalog.Service{Pool: &catalog.Pool{
			Slots: 1, QueueLimit: 2, MaxBatch: batch, BatchTime: 200 * ms, ItemTime: 20 * ms, ResultMemory: memory, ResultTTL: 4 * time.Second,
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

// harness drives a scheduler and records running calls, results and failures.
type harness struct {
	t          *testing.T
	s          *Scheduler
	now        time.Duration
	calls      map[string]Call // by replica
	delivered  map[uint64][]string
	failed     map[uint64]Fail
	freed      []string
	foreign    []ForeignHandle
	lastHandle int
}

func newHarness(t *testing.T, opts ...Option) *harness {
	h := &harness{t: t, s: New(opts...), calls: make(map[string]Call), delivered: make(map[uint64][]string), failed: make(map[uint64]Fail)}
	h.apply(h.s.SetPools(0, services(), replicas()))
	return h
}

func (h *harness) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Call:
			if c, busy := h.calls[a.Replica]; busy {
				h.t.Errorf("%s got call %d while call %d is running", a.Replica, a.ID, c.ID)
			}
			h.calls[a.Replica] = a
		case Deliver:
			if _, twice := h.delivered[a.Job]; twice {
				h.t.Errorf("job %d was delivered twice", a.Job)
			}
			h.delivered[a.Job] = a.Handles
		case Fail:
			h.failed[a.Job] = a
		case Free:
			h.freed = append(h.freed, a.Handles...)
		case ForeignHandle:
			h.foreign = append(h.foreign, a)
		}
	}
}

func (h *harness) submit(j Job) Decision {
	v, actions := h.s.Submit(h.now, j)
	h.apply(actions)
	return v
}

// answer ends a replica's call; reasons apply to its first items.
func (h *harness) answer(replica string, outcome Outcome, reasons ...Reason) {
	h.t.Helper()
	c, ok := h.calls[replica]
	if !ok {
		h.t.Fatalf("%s has no call", replica)
	}
	delete(h.calls, replica)
	var results []Result
	if outcome == Answered {
		for i := range c.Items {
			h.lastHandle++
			r := Result{Handle: fmt.Sprintf("%s/%d", replica, h.lastHandle)}
			if i < len(reasons) && reasons[i] != NoReason {
				r = Result{Reason: reasons[i]}
			}
			results = append(results, r)
		}
	}
	h.apply(h.s.FinishCall(h.now, c.ID, outcome, results))
}

// busyReplica returns a replica of the service that has a call, or "".
func (h *harness) busyReplica(service string) string {
	for id := range h.calls {
		if strings.HasPrefix(id, service) {
			return id
		}
	}
	return ""
}

// busyReplicas returns how many replicas of the service have a call.
func (h *harness) busyReplicas(service string) int {
	n := 0
	for id := range h.calls {
		if strings.HasPrefix(id, service) {
			n++
		}
	}
	return n
}

func (h *harness) tick(d time.Duration) {
	h.now += d
	h.apply(h.s.Tick(h.now))
}

func newTestJob(id string, items int) Job {
	return Job{
		RequestID: id, Key: "key-" + id, Objective: 2 * time.Second, Deadline: 8 * time.Second,
		Stages: []Stage{{Service: "read", Items: items, ResultBytes: 10_000}},
	}
}

func TestItemsOfManyRequestsShareACall(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for i := range 2 { // keep both replicas busy
		is.True(h.submit(newTestJob(fmt.Sprint("first", i), 1)).Admitted)
	}
	for i := range 4 {
		h.submit(newTestJob(fmt.Sprint("next", i), 1))
	}
	h.now = 220 * ms
	h.answer("read-a", Answered)
	is.Equal(len(h.calls["read-a"].Items), 4) // all waiting items in one call
}

func TestStagesFollowEachOtherAndResultsAreFreed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	j := newTestJob("r", 2)
	j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Items: 1, ResultBytes: 10_000})
	v := h.submit(j)
	is.True(v.Admitted)
	replica := "read-a"
	if _, ok := h.calls[replica]; !ok {
		replica = "read-b"
	}
	is.Equal(h.calls[replica].Items[0].Key, "key-r")
	h.now = 240 * ms
	h.answer(replica, Answered)
	next := "rank-a"
	if _, ok := h.calls[next]; !ok {
		next = "rank-b"
	}
	is.Equal(len(h.calls[next].Items[0].Inputs), 2)
	is.Equal(h.calls[next].Items[0].Key, "") // only set for stages without inputs
	h.now = 480 * ms
	h.answer(next, Answered)
	is.Equal(len(h.delivered[v.ID]), 1)
	is.Equal(len(h.freed), 2) // the inputs, as their last reader is done
	h.apply(h.s.Release(h.now, v.ID))
	is.Equal(len(h.freed), 3)
	is.Equal(h.s.Jobs(), 0)
}

func TestItemsOfAFailedCallRunElsewhere(t *testing.T) {
	for _, outcome := range []Outcome{Refused, WrongReplica, Unreachable, Broken, TimedOut} {
		h := newHarness(t)
		v := h.submit(newTestJob("r", 1))
		first, second := "read-a", "read-b"
		if _, ok := h.calls[first]; !ok {
			first, second = second, first
		}
		h.answer(first, outcome)
		if _, ok := h.calls[second]; !ok {
			t.Fatalf("outcome %d: the item is not sent elsewhere", outcome)
		}
		h.answer(second, Answered)
		if len(h.delivered[v.ID]) != 1 {
			t.Errorf("outcome %d: not delivered", outcome)
		}
	}
}

func TestOverdueCallIsAlsoRunElsewhere(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	v := h.submit(newTestJob("r", 1))
	first, second := "read-a", "read-b"
	if _, ok := h.calls[first]; !ok {
		first, second = second, first
	}
	h.tick(time.Second)
	_, ok := h.calls[second]
	is.True(ok)
	h.answer(second, Answered)
	is.Equal(len(h.delivered[v.ID]), 1)
	h.answer(first, Answered) // too late to be used
	is.Equal(len(h.freed), 1)
}

func TestMissingInputIsRecomputed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	j := newTestJob("r", 1)
	j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Items: 1, ResultBytes: 10_000})
	v := h.submit(j)
	run := func(service string, reasons ...Reason) {
		for _, hall := range []string{"a", "b"} {
			if _, ok := h.calls[service+"-"+hall]; ok {
				h.answer(service+"-"+hall, Answered, reasons...)
				return
			}
		}
		t.Fatalf("no call of %s", service)
	}
	run("read")
	run("rank", InputMissing)
	run("read")
	run("rank")
	is.Equal(len(h.delivered[v.ID]), 1)
}

// Late jobs that had not started used to wait until their deadline behind jobs that were in
// time: 119 requests in one large test run.
func TestUnstartedJobEndsAtItsObjective(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, WithObjectiveMargin(100))
	for i := range 2 {
		h.submit(newTestJob(fmt.Sprint("first", i), 4))
	}
	late := h.submit(newTestJob("late", 1))
	is.True(late.Admitted)
	h.tick(2100 * ms)
	_, ended := h.failed[late.ID]
	is.True(ended)
}

func TestStartedLateJobContinuesForTheGracePeriod(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	v := h.submit(newTestJob("r", 1))
	h.tick(2100 * ms)
	_, ended := h.failed[v.ID]
	is.True(!ended)
	h.tick(1600 * ms)
	_, ended = h.failed[v.ID]
	is.True(ended)
}

// An unstarted job fails at the latest time at which its stages could start, so that its
// client learns this before the deadline.
func TestUnstartedJobFailsAtItsLatestStart(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.submit(newTestJob("a", 1))
	h.submit(newTestJob("b", 1)) // both replicas are busy and never answer
	waits := h.submit(newTestJob("waits", 1))
	is.True(waits.Admitted)
	latest := 2*time.Second - h.s.jobs[waits.ID].stages[0].duration()
	h.tick(latest)
	is.Equal(h.failed[waits.ID].Reason, "")
	h.tick(10 * ms)
	is.Equal(h.failed[waits.ID].Reason, "late")
	is.True(h.failed[waits.ID].RetryAfter > 0)
}

// A started job continues behind those that can still be in time.
func TestStartedJobThatWillBeLateIsDemoted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	late := newTestJob("late", 1)
	late.Stages = append(late.Stages, Stage{Service: "rank", After: []int{0}, Items: 1, ResultBytes: 10_000})
	v := h.submit(late)
	is.True(v.Admitted)
	first := "read-a"
	if _, ok := h.calls[first]; !ok {
		first = "read-b"
	}
	h.tick(1900 * ms) // its second stage can't end in time, although the job is not due yet
	is.Equal(h.s.jobs[v.ID].rank, lateRank)
	is.Equal(h.failed[v.ID].Reason, "")
	h.answer(first, Answered)
	is.True(len(h.calls) > 0) // it continues while nothing else waits
}

// After all instances were killed, replicas still held the results of a previous owner, and calls
// of eight items found memory for one.
func TestMemoryHeldByOthersIsInferred(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	big := func(id string) Job {
		j := newTestJob(id, 4)
		j.Stages[0].ResultBytes = 1_000_000
		j.Hall = "a"
		return j
	}
	h.submit(big("r"))
	is.Equal(len(h.calls["read-a"].Items), 4)
	h.now = 210 * ms
	h.answer("read-a", Answered, NoReason, MemoryFull, MemoryFull, MemoryFull)
	h.tick(150 * ms)
	for i := range 4 {
		h.submit(big(fmt.Sprint(i)))
	}
	for replica, c := range h.calls {
		is.True(replica != "read-a" || len(c.Items) == 0) // memory for four results: one is held, three belong to others
	}
	h.tick(2100 * ms) // half of the foreign results have expired
	is.Equal(len(h.calls["read-a"].Items), 1)
}

func TestResultMemoryBoundsACall(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	j := newTestJob("r", 4)
	j.Stages[0].ResultBytes = 1_500_000 // two fit
	h.submit(j)
	is.True(len(h.calls["read-a"].Items) <= 2)
}

func TestExcessLoadIsRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	refused := 0
	for i := range 60 {
		v := h.submit(newTestJob(fmt.Sprint(i), 4))
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
	h := newHarness(t)
	for i := range 2 {
		h.submit(newTestJob(fmt.Sprint("first", i), 4))
	}
	for i := range 3 {
		j := newTestJob(fmt.Sprint("low", i), 4)
		j.Rank = 2
		h.submit(j)
	}
	h.submit(newTestJob("high", 1))
	h.now = 280 * ms
	h.answer("read-a", Answered)
	is.Equal(h.calls["read-a"].Items[0].RequestID, "high")
}

func TestItemsRunInTheHallOfTheirInputs(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for i := range 6 {
		j := newTestJob(fmt.Sprint(i), 1)
		j.Stages[0].ResultBytes = 400_000
		j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Items: 2, ResultBytes: 1000})
		h.submit(j)
	}
	for range 8 {
		for _, r := range []string{"read-a", "read-b", "rank-a", "rank-b"} {
			c, ok := h.calls[r]
			if !ok {
				continue
			}
			for _, item := range c.Items {
				for _, in := range item.Inputs {
					is.Equal(in[len("read-")], r[len("rank-")])
				}
			}
			h.now += 60 * ms
			h.answer(r, Answered)
		}
	}
	is.Equal(len(h.delivered), 6)
}

func TestDrainingReplicaGetsNoCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.s.MarkDraining("read-a")
	for i := range 4 {
		h.submit(newTestJob(fmt.Sprint(i), 2))
	}
	_, ok := h.calls["read-a"]
	is.True(!ok)
	list := replicas()
	h.apply(h.s.SetPools(h.now, services(), list)) // a stale list does not undo the drain
	_, ok = h.calls["read-a"]
	is.True(!ok)
}

// A new owner finds replicas that are full or busy because of the previous one.
func TestNewOwnerRespectsCallsAndResultsOfThePreviousOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.s.RecordReplicaState(0, "read-a", 1_000_000, false) // one of four megabytes is free
	h.s.RecordReplicaState(0, "read-b", 4_000_000, true)  // busy for another owner
	j := newTestJob("r", 4)
	j.Stages[0].ResultBytes = 1_000_000
	h.submit(j)
	is.Equal(len(h.calls["read-a"].Items), 1)
	_, ok := h.calls["read-b"]
	is.True(!ok)
	h.tick(210 * ms)
	is.True(len(h.calls["read-b"].Items) > 0)
}

// When the owner changed during a rolling restart, the new owner found every replica busy for
// the previous one and refused all requests for lack of replicas.
func TestReplicasBusyForAnotherOwnerAreCapacity(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for _, r := range replicas() {
		h.s.RecordReplicaState(h.now, r.ID, 4_000_000, true)
	}
	v := h.submit(newTestJob("r", 1))
	is.True(v.Admitted)
	is.True(v.Expected > 200*ms) // includes the wait for the replicas
	is.Equal(len(h.calls), 0)
	h.tick(250 * ms)
	is.Equal(len(h.calls), 1)
}

// A call whose link is lost says nothing about its replica: its items run again at once, and
// however often that happens, the replica counts as capacity.
func TestReplicaWhoseLinkIsLostStaysInUse(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	v := h.submit(newTestJob("r", 1))
	for range 10 {
		is.Equal(len(h.calls), 1)
		for replica := range h.calls {
			h.answer(replica, LinkLost)
		}
	}
	is.True(h.submit(newTestJob("next", 1)).Admitted)
	for replica := range h.calls {
		h.answer(replica, Answered)
	}
	is.Equal(len(h.delivered[v.ID]), 1)
}

// Replicas that have just refused calls because they are full will be free soon and count as
// capacity; failing replicas don't.
func TestFullReplicasAreCapacityButFailingOnesAreNot(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		outcome  Outcome
		admitted bool
	}{{Refused, true}, {Broken, false}} {
		h := newHarness(t)
		for _, r := range []string{"read-a", "read-b"} {
			for range 2 { // the second failure extends the pause
				h.submit(newTestJob("a", 1))
				h.submit(newTestJob("b", 1))
				if _, ok := h.calls[r]; ok {
					h.answer(r, c.outcome)
				}
			}
		}
		is.Equal(h.submit(newTestJob("next", 1)).Admitted, c.admitted)
	}
}

// Less urgent jobs are overtaken by more urgent ones that arrive later. The forecast must
// include these, based on recent arrivals.
func TestForecastIncludesMoreUrgentArrivals(t *testing.T) {
	is := is.New(t)
	decideWithUrgent := func(interval time.Duration) Decision {
		h := newHarness(t)
		for h.now = 0; h.now < 4*time.Second; h.now += 50 * ms {
			if interval > 0 && h.now%interval == 0 {
				j := newTestJob(fmt.Sprint(h.now), 3)
				j.Rank = 1
				h.submit(j)
			}
			for replica, c := range h.calls {
				if h.now-h.s.calls[c.ID].sentAt >= 250*ms {
					h.answer(replica, Answered)
				}
			}
			h.tick(0)
		}
		for range 3 { // already waiting
			j := newTestJob("waits", 4)
			j.Rank = 2
			h.submit(j)
		}
		j := newTestJob("asks", 2)
		j.Rank = 2
		return h.submit(j)
	}
	without, with := decideWithUrgent(0), decideWithUrgent(200*ms)
	is.True(without.Admitted)
	is.True(with.Expected > without.Expected*3/2)
}

// A large result that only the request reads used to occupy its replica's memory for more than
// a second while the job's other stages ran, and other jobs found no memory.
func TestLargeResultsAreMadeShortlyBeforeTheyAreRead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	j := newTestJob("r", 1)
	j.Stages[0].ResultBytes = 1_000_000 // read by the request alone
	j.Stages = append(j.Stages, Stage{Service: "rank", Items: 1, ResultBytes: 10_000},
		Stage{Service: "rank", After: []int{1}, Items: 1, ResultBytes: 10_000},
		Stage{Service: "rank", After: []int{2}, Items: 1, ResultBytes: 10_000})
	is.True(h.submit(j).Admitted)
	for stage := 1; stage < 3; stage++ {
		is.Equal(h.busyReplicas("read"), 0) // the remaining stages take longer than its own
		h.now += 220 * ms
		h.answer(h.busyReplica("rank"), Answered)
		if stage == 1 {
			is.Equal(h.busyReplicas("read"), 0)
		}
	}
	is.Equal(h.busyReplicas("read"), 1) // one stage is left, as long as its own

	small := newTestJob("s", 1) // small results are not delayed
	small.Stages = append(small.Stages, j.Stages[1:]...)
	is.True(h.submit(small).Admitted)
	is.Equal(h.busyReplicas("read"), 2)
}

// Calls with one item that had a second of slack used to keep every replica busy, and urgent
// items had to wait for the end of a call.
func TestTheLastIdleReplicaIsKeptForUrgentWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	list := append(replicas(), catalog.Replica{ID: "read-c", Service: "read", Hall: "a", Address: "read-c:1"})
	h.apply(h.s.SetPools(0, services(), list))
	urgent := func(id string) Job {
		j := newTestJob(id, 1)
		j.Objective = 600 * ms
		return j
	}
	patient := func(id string, items int) Job {
		j := newTestJob(id, items)
		j.Rank = 5
		return j
	}
	is.True(h.submit(urgent("first")).Admitted)
	is.True(h.submit(patient("second", 1)).Admitted)
	is.Equal(h.busyReplicas("read"), 2)
	is.True(h.submit(patient("third", 1)).Admitted)
	is.Equal(h.busyReplicas("read"), 2) // it has slack
	is.True(h.submit(urgent("fourth")).Admitted)
	is.Equal(h.busyReplicas("read"), 3)

	h.now = 220 * ms
	h.answer("read-a", Answered)
	is.True(h.submit(patient("fifth", 2)).Admitted)
	is.Equal(h.busyReplicas("read"), 3) // half a batch may take the last replica
}

func TestItemsNearTheirLatestStartTakeTheLastIdleReplica(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	list := append(replicas(), catalog.Replica{ID: "read-c", Service: "read", Hall: "a", Address: "read-c:1"})
	h.apply(h.s.SetPools(0, services(), list))
	for i := range 2 {
		is.True(h.submit(newTestJob(fmt.Sprint(i), 1)).Admitted)
	}
	j := newTestJob("patient", 1)
	j.Rank = 5
	is.True(h.submit(j).Admitted)
	is.Equal(h.busyReplicas("read"), 2)
	for range 30 { // 1.5 s of the 2 s objective
		h.tick(50 * ms)
	}
	is.Equal(h.busyReplicas("read"), 3)
}

// Retried jobs with a long deadline used to be admitted although they were given up as late
// with half of their stages done.
func TestRetriedJobIsRefusedIfItWouldBeGivenUp(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for i := range 6 {
		j := newTestJob(fmt.Sprint(i), 4)
		j.Objective = time.Minute // 24 items wait, about 0.9 s for two replicas
		is.True(h.submit(j).Admitted)
	}
	retried := func(objective time.Duration) Job {
		j := newTestJob("back", 1)
		j.Retry, j.Objective, j.Deadline = true, objective, 20*time.Second
		return j
	}
	is.True(!h.submit(retried(500 * ms)).Admitted)
	is.True(h.submit(retried(900 * ms)).Admitted) // may be slightly late
}

// Items used to wait for a replica of their preferred hall until no slack was left, while
// others were idle; any call longer than expected then made them late.
func TestItemLeavesItsHallIfItCouldBeLateThere(t *testing.T) {
	is := is.New(t)
	var h *harness
	inHallA := func(id string, objective time.Duration) Job {
		j := newTestJob(id, 4)
		j.Stages[0].ResultBytes = 1_000_000 // large enough to prefer a hall
		j.Hall, j.Objective = "a", objective
		return j
	}
	for _, c := range []struct {
		objective time.Duration // includes 280 ms for its own call
		busy      int
	}{
		{2 * time.Second, 1}, // its hall is free long before its latest start
		{900 * ms, 2},        // it could just start in time there
	} {
		h = newHarness(t)
		is.True(h.submit(inHallA("first", 2*time.Second)).Admitted)
		is.Equal(len(h.calls["read-a"].Items), 4) // until 280 ms
		is.True(h.submit(inHallA("second", c.objective)).Admitted)
		is.Equal(h.busyReplicas("read"), c.busy)
	}
}

// submitSteadily submits one item per interval, for the given number of steps, to eight
// replicas that end their calls when due.
func (h *harness) submitSteadily(steps int, every time.Duration) {
	list := replicas()
	for i := range 6 {
		id := fmt.Sprint("read-", i)
		list = append(list, catalog.Replica{ID: id, Service: "read", Hall: "a", Address: id + ":1"})
	}
	h.apply(h.s.SetPools(0, services(), list))
	for i := range steps {
		h.step(newTestJob(fmt.Sprint(i), 1), every)
	}
}

// step ends the calls that are due, submits a job and advances the time.
func (h *harness) step(j Job, every time.Duration) Decision {
	for _, r := range slices.Sorted(maps.Keys(h.calls)) {
		if h.now >= h.s.calls[h.calls[r].ID].dueAt {
			h.answer(r, Answered)
		}
	}
	v := h.submit(j)
	h.tick(every)
	return v
}

// At low load, idle replicas used to take whatever waited, so that pools were fully busy with
// calls a third full and urgent items found no idle replica.
func TestItemsWithSlackWaitForFullerCallsUnderLoad(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.submitSteadily(200, 20*ms) // 50 items a second; 8 replicas carry 36 of them in calls of one
	is.True(h.busyReplicas("read") < 8)
	for _, c := range h.calls {
		is.True(len(c.Items) >= 2)
	}
	urgent := newTestJob("urgent", 1)
	urgent.Objective = 500 * ms // includes 248 ms for its own call
	is.True(h.step(urgent, 20*ms).Admitted)
	started := false
	for _, c := range h.calls {
		started = started || c.Items[0].RequestID == "urgent"
	}
	is.True(started) // at once, together with waiting items
}

// Future more urgent work used to be counted at the current fill of calls. The least urgent
// jobs were refused although calls had places left, as calls fill up under load.
func TestLeastUrgentJobIsNotRefusedForWorkThatFillsCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.submitSteadily(200, 14*ms) // 71 items a second of 114 in full calls
	least := newTestJob("least", 2)
	least.Rank, least.Objective = 5, 700*ms
	submittedAt := h.now
	v := h.step(least, 14*ms)
	is.True(v.Admitted)
	for i := 0; h.delivered[v.ID] == nil && i < 100; i++ {
		h.step(newTestJob(fmt.Sprint("more", i), 1), 14*ms)
	}
	took := h.now - submittedAt
	is.True(took <= least.Objective)
	is.True((took - v.Expected).Abs() < 200*ms) // less than a call
}

// Calls that were declared to take seconds but ended within milliseconds made items wait
// seconds for fuller calls: three requests were served in the time of fifty.
func TestCallsMuchFasterThanDeclaredAreNotWaitedFor(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	p := h.s.pools["read"]
	p.def.BatchTime = 2 * time.Second
	r := p.replicasByID[0]
	c := &call{pool: p, replica: r, items: []*stageItem{{stage: &stage{def: Stage{ResultBytes: 1}}}}}
	p.recordCallTime(r, c, 5*ms, false) // a quick failure says little about the speed
	is.True(r.slowdown > 0.5)
	for _, r := range p.replicasByID {
		p.recordCallTime(r, c, 5*ms, true)
	}
	p.load.forRank(0).recordArrival(h.now, 20, p.itemSeconds(1)) // ten a second
	is.True(p.targetFill(h.now, &h.s.opts) < 1)                  // 0.85 of a replica is idle in any case
	for range 10 {
		p.recordCallTime(r, c, 2*time.Second, true) // a slowdown is still detected
	}
	is.True(r.slowdown > 0.9)
}
