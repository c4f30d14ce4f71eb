package pipeline

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mostGivenUp is the share of the requests that may be admitted and then given up:
// what is known not to be servable is refused at once.
const mostGivenUp = 0.02

// Results lie in their makers' room until the request has read them. Where that
// takes long, the room and not the replicas' time bounds what a pool can do, and
// whoever is let in beyond it waits until it is late and has had work done for
// nothing.
func TestRoomForResultsBoundsWhatIsLetIn(t *testing.T) {
	for name, l := range map[string]floodLoad{
		"read within a second":       {reads: time.Second, scale: 1.6},
		"read within two":            {reads: 2 * time.Second, scale: 1.2},
		"a burst, read within 1.2 s": {reads: 1200 * ms, scale: 0.8, floods: []flood{{customer: 0, times: 3.5, from: 6 * time.Second, to: 12 * time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			l.customers, l.replicas, l.seed, l.nameless = 1, 6, 1, true
			asked, givenUp, inTime := 0, 0, 0
			for _, k := range kinds() {
				c := l.play().of(0, k.name)
				t.Logf("%s: %d asked, %d in time, %d late, %d refused, %d given up", k.name, c.asked, c.inTime, c.late, c.refused, c.givenUp)
				asked += c.asked
				givenUp += c.givenUp
				inTime += c.inTime
			}
			if float64(givenUp) > mostGivenUp*float64(asked) {
				t.Errorf("%d of %d are given up after they were let in; %d in time", givenUp, asked, inTime)
			}
		})
	}
}

// The same by other luck. In the burst of seed 3 large results filled the room of the
// first pool to the last byte, and small ones that later stages read found none.
func TestRoomBoundsWhatIsLetInByOtherLuck(t *testing.T) {
	for name, l := range map[string]floodLoad{
		"read within a second":       {reads: time.Second, scale: 1.6},
		"read within two":            {reads: 2 * time.Second, scale: 1.2},
		"a burst, read within 1.2 s": {reads: 1200 * ms, scale: 0.8, floods: []flood{{customer: 0, times: 3.5, from: 6 * time.Second, to: 12 * time.Second}}},
	} {
		for l.seed = 2; l.seed <= 3; l.seed++ {
			t.Run(fmt.Sprint(name, l.seed), func(t *testing.T) {
				l.customers, l.replicas, l.nameless = 1, 6, true
				var sum counted
				out := l.play()
				for _, k := range kinds() {
					c := out.of(0, k.name)
					sum.asked += c.asked
					sum.givenUp += c.givenUp
					sum.inTime += c.inTime
				}
				if float64(sum.givenUp) > mostGivenUp*float64(sum.asked) {
					t.Errorf("%d of %d are given up after they were let in; %d in time", sum.givenUp, sum.asked, sum.inTime)
				}
			})
		}
	}
}

// full is a pool whose room is taken by results that nobody has read yet, and that
// knows how long that usually lasts.
func full(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	first := b.submit(newTestJob("first", 1)).ID
	b.finish()
	b.now += time.Second // to read
	b.do(b.s.Release(b.now, first))
	for n := range 2 { // all but what is left to results of first stages
		j := newTestJob(fmt.Sprint("unread-", n), 3)
		j.Stages[0].Bytes = 1_000_000
		j.Rank = 1
		b.submit(j)
		b.finish()
	}
	return b
}

// finish answers all calls until there are none.
func (b *bench) finish() {
	for {
		at := b.atWork("read")
		if at == "" {
			return
		}
		b.now += 300 * ms
		b.answer(at, Answered)
	}
}

// Work does not begin whose results have nowhere to go, and what waits for room is
// let in by rank as results are read.
func TestAJobBeginsWhenItsResultsWillFindRoom(t *testing.T) {
	is := is.New(t)
	b := full(t)
	large := func(id string, rank int) Job {
		j := newTestJob(id, 4)
		j.Stages[0].Bytes, j.Rank, j.Objective = 1_000_000, rank, 20*time.Second
		j.Deadline = 30 * time.Second
		return j
	}
	is.True(b.submit(large("patient", 5)).Admitted)
	is.True(b.submit(large("urgent", 0)).Admitted)
	is.Equal(b.atWork("read"), "") // nothing is thrown away
	for id, j := range b.s.jobs {
		if j.RequestID == "unread-0" {
			b.do(b.s.Release(b.now, id))
		}
	}
	is.True(b.atWork("read") != "")
	for _, c := range b.calls {
		for _, item := range c.Items {
			is.Equal(item.RequestID, "urgent")
		}
	}
}

// A request that never says that it has read its results keeps others out for no
// longer than its results are kept.
func TestWhoNeverReadsKeepsOthersOutForAWhileOnly(t *testing.T) {
	is := is.New(t)
	b := full(t)
	b.tick(services()["read"].Pool.ResultTTL + time.Second)
	is.Equal(b.s.pools["read"].room.begun, int64(0))
	is.True(b.submit(newTestJob("next", 4)).Admitted)
	is.True(b.atWork("read") != "")
}

// A job that takes more than there is room for begins once nothing else does.
func TestAJobLargerThanTheRoomBeginsAlone(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first := b.submit(newTestJob("first", 1)).ID
	b.finish()
	b.do(b.s.Release(b.now, first))
	j := newTestJob("large", 40)
	j.Stages[0].Bytes, j.Objective, j.Deadline = 1_000_000, 30*time.Second, 60*time.Second
	is.True(b.submit(j).Admitted)
	is.True(b.atWork("read") != "")
}

// What can't be expected to find room in time is refused as it comes, with the time
// from which on it may, and not when its own time is over.
func TestWhatFindsNoRoomInTimeIsRefusedWithATime(t *testing.T) {
	is := is.New(t)
	b := full(t)
	var v Verdict
	for n := 0; n < 50; n++ {
		j := newTestJob(fmt.Sprint("more-", n), 4)
		j.Stages[0].Bytes = 1_000_000
		if v = b.submit(j); !v.Admitted {
			break
		}
	}
	is.True(!v.Admitted)
	is.True(v.RetryAfter > 0 && v.RetryAfter < 10*time.Second)
}
