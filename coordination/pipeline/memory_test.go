package pipeline

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxGivenUpShare is the share of the requests that may be given up after admission; those
// that can't be served should be refused at once.
const maxGivenUpShare = 0.02

// Results stay in their producers' memory until the request has read them. If reading takes
// long, memory instead of replica time limits a pool. Jobs admitted beyond that limit would
// wait until they are late, with wasted work.
func TestResultMemoryBoundsAdmission(t *testing.T) {
	for name, l := range map[string]floodLoad{
		"read within a second":       {readTime: time.Second, scale: 1.6},
		"read within two":            {readTime: 2 * time.Second, scale: 1.2},
		"a burst, read within 1.2 s": {readTime: 1200 * ms, scale: 0.8, floods: []flood{{customer: 0, factor: 3.5, from: 6 * time.Second, to: 12 * time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			l.customers, l.replicas, l.seed, l.oneCustomer = 1, 6, 1, true
			asked, givenUp, inTime := 0, 0, 0
			for _, k := range kinds() {
				c := l.simulate().of(0, k.name)
				t.Logf("%s: %d asked, %d in time, %d late, %d refused, %d given up", k.name, c.asked, c.inTime, c.late, c.refused, c.givenUp)
				asked += c.asked
				givenUp += c.givenUp
				inTime += c.inTime
			}
			if float64(givenUp) > maxGivenUpShare*float64(asked) {
				t.Errorf("%d of %d are given up after admission; %d in time", givenUp, asked, inTime)
			}
		})
	}
}

// As above, with other seeds. In the burst of seed 3, large results filled the first pool's
// memory completely, and small results for later stages found none.
func TestResultMemoryBoundsAdmissionWithOtherSeeds(t *testing.T) {
	for name, l := range map[string]floodLoad{
		"read within a second":       {readTime: time.Second, scale: 1.6},
		"read within two":            {readTime: 2 * time.Second, scale: 1.2},
		"a burst, read within 1.2 s": {readTime: 1200 * ms, scale: 0.8, floods: []flood{{customer: 0, factor: 3.5, from: 6 * time.Second, to: 12 * time.Second}}},
	} {
		for l.seed = 2; l.seed <= 3; l.seed++ {
			t.Run(fmt.Sprint(name, l.seed), func(t *testing.T) {
				l.customers, l.replicas, l.oneCustomer = 1, 6, true
				var sum tally
				out := l.simulate()
				for _, k := range kinds() {
					c := out.of(0, k.name)
					sum.asked += c.asked
					sum.givenUp += c.givenUp
					sum.inTime += c.inTime
				}
				if float64(sum.givenUp) > maxGivenUpShare*float64(sum.asked) {
					t.Errorf("%d of %d are given up after admission; %d in time", sum.givenUp, sum.asked, sum.inTime)
				}
			})
		}
	}
}

// newFullHarness returns a harness whose pool read has its memory taken by unread results and
// knows the usual hold time.
func newFullHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	first := h.submit(newTestJob("first", 1)).ID
	h.finish()
	h.now += time.Second // reading time
	h.apply(h.s.Release(h.now, first))
	for n := range 2 { // all memory but the part kept for intermediate results
		j := newTestJob(fmt.Sprint("unread-", n), 3)
		j.Stages[0].ResultBytes = 1_000_000
		j.Rank = 1
		h.submit(j)
		h.finish()
	}
	return h
}

// finish answers calls until there are none.
func (h *harness) finish() {
	for {
		at := h.busyReplica("read")
		if at == "" {
			return
		}
		h.now += 300 * ms
		h.answer(at, Answered)
	}
}

// A job does not start while there is no memory for its results. As results are read, waiting
// jobs start in order of rank.
func TestJobStartsWhenItsResultsWillFit(t *testing.T) {
	is := is.New(t)
	h := newFullHarness(t)
	large := func(id string, rank int) Job {
		j := newTestJob(id, 4)
		j.Stages[0].ResultBytes, j.Rank, j.Objective = 1_000_000, rank, 20*time.Second
		j.Deadline = 30 * time.Second
		return j
	}
	is.True(h.submit(large("patient", 5)).Admitted)
	is.True(h.submit(large("urgent", 0)).Admitted)
	is.Equal(h.busyReplica("read"), "") // no work is started in vain
	for id, j := range h.s.jobs {
		if j.RequestID == "unread-0" {
			h.apply(h.s.Release(h.now, id))
		}
	}
	is.True(h.busyReplica("read") != "")
	for _, c := range h.calls {
		for _, item := range c.Items {
			is.Equal(item.RequestID, "urgent")
		}
	}
}

// A request that never confirms reading its results keeps others out only until the results
// expire.
func TestUnreadResultsBlockOthersUntilTheyExpire(t *testing.T) {
	is := is.New(t)
	h := newFullHarness(t)
	h.tick(services()["read"].Pool.ResultTTL + time.Second)
	is.Equal(h.s.pools["read"].memory.reserved, int64(0))
	is.True(h.submit(newTestJob("next", 4)).Admitted)
	is.True(h.busyReplica("read") != "")
}

// A job whose results exceed the pool's memory starts once no other memory is reserved.
func TestJobLargerThanTheMemoryStartsAlone(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first := h.submit(newTestJob("first", 1)).ID
	h.finish()
	h.apply(h.s.Release(h.now, first))
	j := newTestJob("large", 40)
	j.Stages[0].ResultBytes, j.Objective, j.Deadline = 1_000_000, 30*time.Second, 60*time.Second
	is.True(h.submit(j).Admitted)
	is.True(h.busyReplica("read") != "")
}

// A job that is not expected to find memory in time is refused on submission, with a retry
// time, instead of when its time is over.
func TestJobWithoutMemoryInTimeIsRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	h := newFullHarness(t)
	var v Decision
	for n := 0; n < 50; n++ {
		j := newTestJob(fmt.Sprint("more-", n), 4)
		j.Stages[0].ResultBytes = 1_000_000
		if v = h.submit(j); !v.Admitted {
			break
		}
	}
	is.True(!v.Admitted)
	is.True(v.RetryAfter > 0 && v.RetryAfter < 10*time.Second)
}
