package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quinceroad/coordination/history"
)

// pointAt returns a point in the history of a store that states no era.
func pointAt(revision uint64) history.Point { return history.Point{Revision: revision} }

func order(service, target string, revision uint64) Order {
	return Order{Service: service, Target: target, At: pointAt(revision), TimeLimit: 10 * time.Second}
}

// Covers a second order for a service, a withdrawn order, and phases that arrive late
// or belong to another order.
func TestOrdersFollowOneAnother(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(0, []Order{order("s", "v2", 5), order("t", "v9", 6)}, pointAt(7))
	v.SetPhase(1, pointAt(5), Canary)
	v.Apply(2, []Entry{{Order: order("s", "v3", 9)}}, pointAt(9))
	is.True(v.Withheld("s", "v2", true, false)) // replaced before completion: no more requests
	is.True(v.Withheld("s", "v3", true, false)) // its status is not known yet
	is.True(!v.Withheld("s", "v1", true, false))
	is.Equal(len(v.SetPhase(3, pointAt(5), Canary)), 0) // phase of the replaced order
	v.SetPhase(4, pointAt(9), Canary)
	is.True(!v.Withheld("s", "v3", true, false))
	changes := v.Apply(5, []Entry{{Order: Order{Service: "s", At: pointAt(11)}, Deleted: true}}, pointAt(11))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Phase, Rejected)
	is.True(v.Withheld("s", "v3", true, false))
	is.Equal(len(v.Unfinished(6)), 3) // withdrawn orders still need their final status, and t is active
	v.Apply(7, []Entry{{Order: order("s", "v3", 12)}}, pointAt(12))
	v.SetPhase(7, pointAt(12), Canary)
	is.True(!v.Withheld("s", "v3", true, false)) // ordered again
}

// After a restart of all instances following a completed order there are only new
// replicas and the order's status is not read yet; they must still serve.
func TestCompletedVersionServesAfterFullRestart(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(0, []Order{order("s", "v2", 5)}, pointAt(7))
	is.True(!v.Withheld("s", "v2", false, false))
}

// Withdrawing a completed order must not withhold the version, even at an instance
// that learns of the completion only afterwards.
func TestCompletedOrderIsWithdrawn(t *testing.T) {
	is := is.New(t)
	a, b := NewView(), NewView()
	for _, v := range []*View{a, b} {
		v.Replace(0, []Order{order("s", "v2", 5)}, pointAt(7))
		v.SetPhase(1, pointAt(5), Promoted)
	}
	a.SetPhase(2, pointAt(5), Done)
	for _, v := range []*View{a, b} {
		v.Apply(3, []Entry{{Order: Order{Service: "s", At: pointAt(9)}, Deleted: true}}, pointAt(9))
	}
	is.True(!a.Withheld("s", "v2", false, false))
	b.Merge(4, a.Update(4))
	is.True(!b.Withheld("s", "v2", false, false))
}

// Where each of many instances sends few requests, the version still gets its share
// of the total and of each route.
func TestManyInstancesWithLittleTraffic(t *testing.T) {
	is := is.New(t)
	all, sentToTarget := 0, 0
	for i := range 78 {
		splitter := NewTrafficSplitter((float64(i) + 0.5) / 78)
		for n := range 16 {
			route := fmt.Sprint("r", n%5/4) // a fifth of the requests on one of two routes
			toTarget := splitter.Allows(pointAt(1), route, 0.07, 1)
			splitter.Record(pointAt(1), route, 0.07, 1, toTarget)
			all++
			if toTarget {
				sentToTarget++
			}
		}
	}
	share := float64(sentToTarget) / float64(all)
	is.True(share > 0.055 && share < 0.085)
}

// Whatever the order and sizes of sends, the version's share holds at every moment,
// except for the initial credit: at most one send per splitter, that is per incarnation.
func TestTrafficSplitterBoundsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.9).Draw(t, "share")
		initialCredit := rapid.Float64Range(0, 1).Draw(t, "start")
		splitter := NewTrafficSplitter(initialCredit)
		all, sentToTarget, largest := 0, 0, 0
		for _, n := range rapid.SliceOf(rapid.IntRange(1, 60)).Draw(t, "sends") {
			toTarget := splitter.Allows(pointAt(1), "r", share, n)
			splitter.Record(pointAt(1), "r", share, n, toTarget)
			all += n
			if toTarget {
				sentToTarget += n
				largest = max(largest, n)
			}
			if float64(sentToTarget) > share*float64(all)+initialCredit*float64(largest)+1e-6 {
				t.Fatalf("%d of %d at a share of %v, start %v", sentToTarget, all, share, initialCredit)
			}
		}
	})
}

func tally(good, failed int, took time.Duration) *Tally {
	t := &Tally{}
	for range good {
		t.Add(took, false)
	}
	for range failed {
		t.Add(0, true)
	}
	return t
}

// replicaKey returns the key of the n-th new replica's answers on a route.
func replicaKey(route string, n int) RowKey { return RowKey{route, fmt.Sprint("new", n)} }

func TestVerdicts(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		rows map[RowKey]*Tally
		want Verdict
	}{
		"no answers yet":   {map[RowKey]*Tally{{Route: "a"}: tally(100, 0, 30*ms)}, Undecided},
		"good":             {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms), replicaKey("a", 1): tally(8, 0, 30*ms), replicaKey("a", 2): tally(8, 0, 40*ms)}, Good},
		"failures":         {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms), replicaKey("a", 1): tally(3, 2, 30*ms), replicaKey("a", 2): tally(3, 2, 30*ms)}, Harmful},
		"three times slow": {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms), replicaKey("a", 1): tally(0, 0, 0), replicaKey("a", 2): tally(5, 0, 95*ms)}, Harmful},
		"a burst of failures of both versions": {map[RowKey]*Tally{{Route: "a"}: tally(150, 90, 30*ms),
			replicaKey("a", 1): tally(6, 4, 30*ms), replicaKey("a", 2): tally(6, 3, 30*ms)}, Undecided},
		"one faulty replica of a good version": {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms),
			replicaKey("a", 1): tally(0, 9, 0), replicaKey("a", 2): tally(30, 0, 30*ms)}, Good},
		"one faulty replica, few answers of the others": {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms),
			replicaKey("a", 1): tally(0, 9, 0), replicaKey("a", 2): tally(6, 0, 30*ms)}, Undecided},
		"many bad answers of one replica": {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms),
			replicaKey("a", 1): tally(0, 41, 0), replicaKey("a", 2): tally(30, 0, 30*ms)}, Harmful},
		"harmful on one route only": {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms), replicaKey("a", 1): tally(40, 0, 30*ms), replicaKey("a", 2): tally(40, 0, 30*ms),
			{Route: "b"}: tally(60, 0, 30*ms), replicaKey("b", 1): tally(1, 2, 30*ms), replicaKey("b", 2): tally(0, 2, 30*ms)}, Harmful},
		"too few answers on a route": {map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms), replicaKey("a", 1): tally(40, 0, 30*ms),
			{Route: "b"}: tally(60, 0, 30*ms), replicaKey("b", 1): tally(4, 0, 30*ms)}, Undecided},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := NewJudge()
			j.Observe(time.Second, c.rows, false)
			got := j.Observe(time.Second+settleTime, c.rows, false)
			is.New(t).Equal(got.Verdict.String(), c.want.String())
		})
	}
}

// A version that turns bad after a long good time is detected as fast as one that was
// bad from the start.
func TestVersionTurnsHarmful(t *testing.T) {
	is := is.New(t)
	j := NewJudge()
	rows := map[RowKey]*Tally{{Route: "a"}: tally(900, 0, time.Millisecond), replicaKey("a", 1): tally(200, 0, time.Millisecond), replicaKey("a", 2): tally(200, 0, time.Millisecond)}
	j.Observe(-settleTime, rows, false)
	is.Equal(j.Observe(0, rows, false).Verdict, Good)
	for n := 1; ; n++ {
		for i := 1; i <= 2; i++ {
			rows[replicaKey("a", i)].Add(0, true)
		}
		rows[RowKey{Route: "a"}].Add(time.Millisecond, false)
		if j.Observe(time.Duration(n)*100*time.Millisecond, rows, false).Verdict == Harmful {
			is.True(n <= 12) // 24 bad answers; each replica counts as faulty by the tenth of its own at the latest
			return
		}
	}
}

// A single faulty replica that keeps restarting counts as one replica, although each
// incarnation has its own name.
func TestIncarnationsOfFaultyReplicaCountAsOne(t *testing.T) {
	const ms = time.Millisecond
	rows := map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*ms), replicaKey("a", 1): tally(30, 0, 30*ms)}
	for _, incarnation := range []string{"new2", "new2@1", "new2@2"} {
		rows[RowKey{"a", incarnation}] = tally(0, 3, 0)
	}
	j := NewJudge()
	j.Observe(time.Second, rows, false)
	is.New(t).Equal(j.Observe(time.Second+settleTime, rows, false).Verdict, Good)
}

// When a slowdown of both versions begins, the new version's slow answers are reported
// shortly before the old one's. This must not make the new version harmful.
func TestBurstReportedInTwoParts(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	j := NewJudge()
	old, newer := tally(300, 0, 15*ms), []*Tally{tally(12, 0, 15*ms), tally(12, 0, 15*ms)}
	rows := map[RowKey]*Tally{{Route: "a"}: old, replicaKey("a", 1): newer[0], replicaKey("a", 2): newer[1]}
	j.Observe(0, rows, false)
	j.Observe(time.Second, rows, false)
	for n := range 20 { // 10 answers/s of the new version, 100 answers/s of the old one 0.3 s later
		newer[n%2].Add(120*ms, false)
		if n >= 3 {
			for range 10 {
				old.Add(120*ms, false)
			}
		}
		is.True(j.Observe(time.Second+time.Duration(n+1)*100*ms, rows, false).Verdict != Harmful)
	}
}

// Good answers from the canary phase must not complete a version: it is judged again
// under the full load.
func TestShiftingVersionIsJudgedAgain(t *testing.T) {
	is := is.New(t)
	j := NewJudge()
	rows := map[RowKey]*Tally{{Route: "a"}: tally(900, 0, time.Millisecond), replicaKey("a", 1): tally(50, 0, time.Millisecond)}
	j.Observe(0, rows, false)
	is.Equal(j.Observe(settleTime, rows, false).Verdict, Good)
	is.Equal(j.Observe(settleTime+1, rows, true).Verdict, Undecided)
	rows[replicaKey("a", 1)] = tally(70, 0, time.Millisecond)
	j.Observe(settleTime+2, rows, true)
	is.Equal(j.Observe(3*settleTime, rows, true).Verdict, Good)
}

// Sums never decrease, whether reports are partial, late, repeated or from an
// incarnation that has ended.
func TestSumsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := make(map[RowKey]*Tally)
		r := NewReports()
		var sent []Report
		for n := range rapid.IntRange(1, 40).Draw(t, "reports") {
			part := make(map[RowKey]*Tally)
			for i := range 3 {
				k := replicaKey("a", i)
				if seen[k] == nil {
					seen[k] = &Tally{}
				}
				for range rapid.IntRange(0, 3).Draw(t, "answers") {
					seen[k].Add(time.Millisecond, rapid.Bool().Draw(t, "failed"))
				}
				if rapid.Bool().Draw(t, "reported") {
					c := *seen[k]
					part[k] = &c
				}
			}
			sent = append(sent, Report{Sequence: uint64(n + 1), Rows: part})
			before, _, _ := r.Sums()
			r.Merge("n1", 1, rapid.SampledFrom(sent).Draw(t, "comes"))
			after, _, _ := r.Sums()
			for k, old := range before {
				if after[k].Failed < old.Failed || after[k].countFrom(0) < old.countFrom(0) {
					t.Fatalf("%v fell from %+v to %+v", k, old, after[k])
				}
			}
		}
	})
}

func TestDecide(t *testing.T) {
	good := Judgement{Verdict: Good}
	running := Status{Known: true, Revision: 9, State: Running}
	base := func(phase Phase, more func(*Inputs)) *Inputs {
		f := &Inputs{Order: OrderState{Order: order("s", "v2", 5), Phase: phase}, Status: running, Judgement: good,
			Configured: true, NewReady: 4, OldReady: 4, Sent: 1000, Slack: 50}
		more(f)
		return f
	}
	const early, late, over = 4 * time.Second, 9 * time.Second, 11 * time.Second
	cases := map[string]struct {
		now  time.Duration
		f    *Inputs
		want Step
	}{
		"status is not read":                                   {0, base(Pending, func(f *Inputs) { f.Status = Status{} }), Step{ReadStatus: true}},
		"status is not written":                                {0, base(Pending, func(f *Inputs) { f.Status.State = None }), Step{WriteState: Running}},
		"canary starts":                                        {0, base(Pending, func(f *Inputs) {}), Step{SetPhase: Canary}},
		"canary is observed":                                   {early, base(Canary, func(f *Inputs) {}), Step{}},
		"promoted late":                                        {late, base(Canary, func(f *Inputs) {}), Step{SetPhase: Promoted}},
		"not promoted without a verdict":                       {late, base(Canary, func(f *Inputs) { f.Judgement = Judgement{} }), Step{}},
		"promoted within the slack":                            {late, base(Canary, func(f *Inputs) { f.Judgement, f.Sent = Judgement{}, 100 }), Step{SetPhase: Promoted}},
		"promoted after the time limit without a verdict":      {over, base(Canary, func(f *Inputs) { f.Judgement = Judgement{} }), Step{SetPhase: Promoted}},
		"not promoted in doubt, even after the time limit":     {over, base(Canary, func(f *Inputs) { f.Judgement = Judgement{Routes: []Finding{{Against: 3}}} }), Step{}},
		"too few new replicas":                                 {late, base(Canary, func(f *Inputs) { f.NewReady = 3 }), Step{}},
		"no new replica within the time limit":                 {over, base(Canary, func(f *Inputs) { f.NewReady = 0 }), Step{SetPhase: Rejected, WriteState: RolledBack}},
		"not configured":                                       {over, base(Canary, func(f *Inputs) { f.Configured = false }), Step{SetPhase: Rejected, WriteState: RolledBack}},
		"time limit of zero":                                   {0, base(Pending, func(f *Inputs) { f.Order.TimeLimit = 0 }), Step{SetPhase: Rejected, WriteState: RolledBack}},
		"harmful canary":                                       {early, base(Canary, func(f *Inputs) { f.Judgement.Verdict = Harmful }), Step{SetPhase: Rejected, WriteState: RolledBack}},
		"harmful during the shift":                             {late, base(Promoted, func(f *Inputs) { f.Judgement.Verdict = Harmful }), Step{SetPhase: Rejected, WriteState: RolledBack}},
		"instance still sends to old replicas":                 {late, base(Promoted, func(f *Inputs) { f.Lagging = 1 }), Step{}},
		"pinned request after the time limit":                  {over, base(Promoted, func(f *Inputs) { f.Pinned = 1 }), Step{}},
		"waits for requests at old replicas":                   {8 * time.Second, base(Promoted, func(f *Inputs) { f.InFlight = 1 }), Step{}},
		"no longer waits shortly before the limit":             {late + time.Millisecond, base(Promoted, func(f *Inputs) { f.InFlight = 1 }), Step{WriteState: Completed}},
		"not completed without a verdict":                      {8 * time.Second, base(Promoted, func(f *Inputs) { f.Judgement, f.Order.PhaseSince = Judgement{}, 7*time.Second }), Step{}},
		"not completed in doubt":                               {late, base(Promoted, func(f *Inputs) { f.Judgement = Judgement{Routes: []Finding{{Against: 3}}} }), Step{}},
		"not completed without a verdict after the time limit": {over + time.Minute, base(Promoted, func(f *Inputs) { f.Judgement = Judgement{WatchedSince: over} }), Step{}},
		"not completed after an observation gap":               {late, base(Promoted, func(f *Inputs) { f.Judgement.WatchedSince = late - 500*time.Millisecond }), Step{}},
		"not promoted after an observation gap":                {over, base(Canary, func(f *Inputs) { f.Judgement.WatchedSince = over - 500*time.Millisecond }), Step{}},
		"completed":                                            {late, base(Promoted, func(f *Inputs) {}), Step{WriteState: Completed}},
		"status is completed":                                  {late, base(Promoted, func(f *Inputs) { f.Status.State = Completed }), Step{SetPhase: Done}},
		"status is rolled back":                                {late, base(Promoted, func(f *Inputs) { f.Status.State = RolledBack }), Step{SetPhase: Rejected}},
		"harmful after completion":                             {late, base(Done, func(f *Inputs) { f.Judgement.Verdict = Harmful }), Step{}},
		"withdrawn":                                            {late, base(Rejected, func(f *Inputs) { f.Order.Ended = true }), Step{WriteState: RolledBack}},
		"withdrawn after completion":                           {late, base(Rejected, func(f *Inputs) { f.Order.Ended, f.Status.State = true, Completed }), Step{SetPhase: Done}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Decide(c.now, c.f)
			got.Reason = ""
			is.New(t).Equal(got, c.want)
		})
	}
}

// An order that is written again after the store came back from a copy is the same order,
// with its phase; another one, and one that is not written again, ends it.
func TestOrdersOutliveAnEra(t *testing.T) {
	is := is.New(t)
	point := func(era, revision uint64) history.Point { return history.Point{Era: era, Revision: revision} }
	written := func(service string, at history.Point) Order {
		return Order{Service: service, Target: "v2", At: at, TimeLimit: time.Minute}
	}
	v := NewView()
	v.Replace(0, []Order{written("bad", point(1, 41)), written("done", point(1, 42)), written("lost", point(1, 43)), written("changed", point(1, 44))}, point(1, 50))
	v.SetPhase(1, point(1, 41), Rejected)
	v.SetPhase(1, point(1, 42), Done)
	v.SetPhase(1, point(1, 43), Canary)
	is.Equal(len(v.Replace(time.Hour, nil, point(2, 20))), 0) // the copy has none of them
	is.Equal(len(v.Update(time.Hour).Orders), 0)
	is.Equal(len(v.Apply(time.Hour, []Entry{{Order: written("bad", point(1, 51)), Deleted: true}}, point(1, 51))), 0) // late, of the previous era
	other := written("changed", point(2, 23))
	other.Target = "v3"
	v.Apply(time.Hour, []Entry{{Order: written("bad", point(2, 21))}, {Order: written("done", point(2, 22))}, {Order: other}}, point(2, 23))
	is.Equal(v.TakeRenamed(), []Renamed{{point(1, 41), point(2, 21)}, {point(1, 42), point(2, 22)}})
	bad, _ := v.Current("bad")
	is.Equal(bad.Phase, Rejected) // it is not tried anew
	is.Equal(bad.At, point(2, 21))
	is.True(v.Withheld("bad", "v2", true, false))
	done, _ := v.Current("done")
	is.Equal(done.Phase, Done)
	is.True(!done.IsFinished(time.Hour)) // its status has to be written again
	changed, _ := v.Current("changed")
	is.Equal(changed.Target, "v3")
	is.Equal(changed.Phase, Pending)
	lost, ok := v.Current("lost")
	is.True(ok && lost.Phase == Canary)
	is.Equal(len(v.Expire(time.Hour+heldOrderTTL-1)), 0)
	is.Equal(len(v.Expire(time.Hour+heldOrderTTL)), 1)
	_, ok = v.Current("lost")
	is.True(!ok)
	step := Decide(time.Hour, &Inputs{Order: done, Status: Status{Known: true}})
	is.Equal(step.WriteState, Completed)
}
