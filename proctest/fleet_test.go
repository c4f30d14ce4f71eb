package proctest

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/platform"
	"quinceroad/cmd/standin/proxy"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/proctest/rig"
	"quinceroad/protocol/api"
	"quinceroad/protocol/pack"
	client "quinceroad/transport/platform"
)

const leaveGrace = 3 * time.Second // brief: "after a few seconds"

// P5: a replica that leaves gets no new work, though the platform's list lags
// by ten seconds, and though the platform is down.
func TestLeavingReplica(t *testing.T) {
	cases := []struct {
		name  string
		fault platform.Faults
	}{
		{"list lags", platform.Faults{ListLagMS: 10_000}},
		{"platform down", platform.Faults{Down: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := deploy(t, rig.Options{ExampleDir: kalahari})
			must(t, r.InjectPlatformFault(c.fault))
			left := make(chan time.Time, 1)
			time.AfterFunc(time.Second, func() {
				if err := r.InjectUpstreamFault(upstream.Fault{Replica: "encoder-1", Leaving: true}); err != nil {
					t.Error(err)
				}
				left <- time.Now()
			})
			res := runLoad(r, 150, 7*time.Second)
			verdict(t, r, res.Told)
			at := <-left
			journal, err := r.Journal()
			must(t, err)
			before := 0
			for _, x := range journal {
				if x.Replica == "encoder-1" && x.StartUS < at.UnixMicro() {
					before++
				}
			}
			if before == 0 {
				t.Error("the replica had no work before it left")
			}
			for _, v := range check.Left(journal, "encoder-1", at, leaveGrace) {
				t.Error(v)
			}
		})
	}
}

// P5: the same with every coord cut off from the others: each entry learns from
// the replica's own answers.
func TestLeavingReplicaCoordsCut(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, Proxy: true})
	must(t, r.InjectPlatformFault(platform.Faults{ListLagMS: 10_000}))
	for _, in := range r.Instances {
		must(t, r.InjectLinkFault(proxy.Fault{Route: in.Name + "/coord", Cut: true}))
	}
	left := make(chan time.Time, 1)
	time.AfterFunc(time.Second, func() {
		if err := r.InjectUpstreamFault(upstream.Fault{Replica: "encoder-1", Leaving: true}); err != nil {
			t.Error(err)
		}
		left <- time.Now()
	})
	res := runLoad(r, 200, 7*time.Second)
	verdict(t, r, res.Told)
	journal, err := r.Journal()
	must(t, err)
	for _, v := range check.Left(journal, "encoder-1", <-left, leaveGrace) {
		t.Error(v)
	}
}

// shortLives makes callers ask for addresses every second, so that planned
// stops are short.
func shortLives(r *rig.Rig) string {
	return strings.Replace(r.Declaration, "address_lifetime_seconds = 3", "address_lifetime_seconds = 1", 1)
}

// P6: a rolling restart of all instances under load cuts off no request and
// refuses none to a caller that keeps to its address answer.
func TestRollingRestart(t *testing.T) {
	r := start(t, rig.Options{ExampleDir: kalahari})
	_, err := r.Confirm(shortLives(r))
	must(t, err)
	var res *load.Result
	var wg sync.WaitGroup
	wg.Go(func() { res = runLoad(r, 60, 20*time.Second) })
	for _, in := range r.Instances {
		in.Entry.Stop()
		if code := in.Entry.Wait(); code != 0 {
			t.Errorf("%s entry: exit code %d", in.Name, code)
		}
		in.Coord.Stop()
		if code := in.Coord.Wait(); code != 0 {
			t.Errorf("%s coord: exit code %d", in.Name, code)
		}
		must(t, r.StartCoord(in))
		must(t, r.StartEntry(in))
		must(t, r.WaitRevision(1))
	}
	wg.Wait()
	t.Log(res.Summarize())
	verdict(t, r, res.Told)
	for _, v := range check.Unended(res.Told) {
		t.Error(v)
	}
}

// changed returns the declaration with another rate, so that it is a change.
func changed(r *rig.Rig, n int) string {
	return strings.Replace(r.Declaration, "rate = 400.0", fmt.Sprintf("rate = %d.0", 401+n), 1)
}

// plan states an intent through an instance.
func plan(t *testing.T, r *rig.Rig, in *rig.Instance, text string) api.Plan {
	t.Helper()
	var p api.Plan
	must(t, r.CallOperatorAPI(in, "POST", "/v1/plans", text, &p))
	return p
}

func confirm(r *rig.Rig, in *rig.Instance, id string) (api.Confirmation, error) {
	var d api.Confirmation
	return d, r.CallOperatorAPI(in, "POST", "/v1/plans/"+id+"/confirm", "", &d)
}

// P7: of operators who race from one base, one wins and the others are told of
// the conflict; the winner's is in force everywhere within seconds.
func TestOperatorsRace(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	var plans []api.Plan
	for i, in := range r.Instances {
		plans = append(plans, plan(t, r, in, changed(r, i)))
	}
	var mu sync.Mutex
	states := map[string]int{}
	var wg sync.WaitGroup
	for i, in := range r.Instances {
		wg.Go(func() {
			d, err := confirm(r, in, plans[i].ID)
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			states[d.State]++
		})
	}
	wg.Wait()
	if states["confirmed"] != 1 || states["conflict"] != len(r.Instances)-1 {
		t.Errorf("%v, want 1 confirmed and the rest conflict", states)
	}
	must(t, r.WaitRevision(2))
}

// P7: a compare-and-swap whose answer is lost is read back, not guessed, and
// asking again tells the same.
func TestConfirmAnswerLost(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	p := plan(t, r, r.Instances[0], changed(r, 1))
	must(t, r.InjectPlatformFault(platform.Faults{LoseAnswers: 1}))
	for range 2 {
		d, err := confirm(r, r.Instances[0], p.ID)
		must(t, err)
		if d.State != "confirmed" || d.Revision != 2 {
			t.Errorf("%+v, want revision 2 confirmed", d)
		}
	}
	must(t, r.WaitRevision(2))
}

// P7: an acceptor killed once its swap took effect: the revision reaches the
// others without it, and the operator learns by asking again elsewhere.
func TestAcceptorKilledAfterSwap(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	acceptor, other := r.Instances[3], r.Instances[0]
	p := plan(t, r, acceptor, changed(r, 1))
	must(t, r.InjectPlatformFault(platform.Faults{LoseAnswers: 1}))
	writes := platformStats(t, r).Writes
	told := make(chan error, 1)
	go func() {
		_, err := confirm(r, acceptor, p.ID)
		told <- err
	}()
	must(t, r.WaitUntil("the swap", func() bool { return platformStats(t, r).Writes > writes }))
	acceptor.Coord.Kill()
	<-told // an error, or the answer if it was faster
	d, err := confirm(r, other, p.ID)
	must(t, err)
	if d.State != "confirmed" || d.Revision != 2 {
		t.Errorf("%+v, want revision 2 confirmed", d)
	}
	must(t, r.WaitUntil("revision 2 at all others", func() bool {
		for _, in := range r.Instances {
			s, err := r.EntryState(in)
			if in != acceptor && (err != nil || s.Revision != 2) {
				return false
			}
		}
		return true
	}))
}

// P7: with the platform down right after a confirmation, the revision still
// reaches everyone, a process started during the outage takes it from its
// peers, and no entry ever goes back.
func TestConfigThroughOutage(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	stop := watchRevisions(t, r)
	p := plan(t, r, r.Instances[0], changed(r, 1))
	d, err := confirm(r, r.Instances[0], p.ID)
	must(t, err)
	must(t, r.InjectPlatformFault(platform.Faults{Down: true}))
	must(t, r.WaitRevision(d.Revision))
	in := r.Instances[5]
	in.Coord.Kill()
	must(t, r.StartCoord(in))
	in = r.Instances[4]
	in.Entry.Kill()
	in.Coord.Kill()
	must(t, r.StartCoord(in))
	must(t, r.StartEntry(in))
	must(t, r.WaitRevision(d.Revision))
	if _, err := confirm(r, r.Instances[0], p.ID); err == nil {
		t.Error("a confirmation while the platform is down was not refused")
	}
	res := runLoad(r, 60, 2*time.Second)
	verdict(t, r, res.Told)
	stop()
}

// P7: a platform that answers with older data, or lost the newest for good,
// does not take anyone back, nor a process that starts meanwhile; and operators
// can go on from what is in force.
func TestConfigStalePlatform(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	p := plan(t, r, r.Instances[0], changed(r, 1))
	d, err := confirm(r, r.Instances[0], p.ID)
	must(t, err)
	must(t, r.WaitRevision(d.Revision))
	stop := watchRevisions(t, r)
	must(t, r.InjectPlatformFault(platform.Faults{Stale: true}))
	for _, in := range r.Instances[:3] {
		in.Entry.Kill()
		in.Coord.Kill()
		must(t, r.StartCoord(in))
		must(t, r.StartEntry(in))
	}
	must(t, r.WaitRevision(d.Revision))
	must(t, r.InjectPlatformFault(platform.Faults{}))
	loseNewest(t, r)
	res := runLoad(r, 60, 3*time.Second)
	verdict(t, r, res.Told)
	stop()
	must(t, r.WaitRevision(d.Revision))
	next := plan(t, r, r.Instances[1], changed(r, 2))
	d, err = confirm(r, r.Instances[1], next.ID)
	must(t, err)
	if d.State != "confirmed" || d.Revision != 3 {
		t.Errorf("%+v, want revision 3 confirmed", d)
	}
	must(t, r.WaitRevision(3))
}

// loseNewest puts an older configuration in place of the newest, as a store
// does that came back from a backup.
func loseNewest(t *testing.T, r *rig.Rig) {
	t.Helper()
	const key = "config/current"
	c := client.New(r.Platform)
	kv, err := c.Get(key)
	must(t, err)
	packed, err := pack.Compress(r.Declaration)
	must(t, err)
	b, err := json.Marshal(api.StoredConfig{Revision: 1, PlanID: "older", Declaration: packed})
	must(t, err)
	_, err = c.Put(key, api.KVPut{Value: b, IfVersion: kv.Version})
	must(t, err)
}

// watchRevisions polls every entry's revision until the returned function is
// called; one that falls, or starts below what is in force, fails the test. A
// process that has none yet does not count.
func watchRevisions(t *testing.T, r *rig.Rig) func() {
	t.Helper()
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for _, in := range r.Instances {
		wg.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-quit:
					return
				case <-time.After(5 * time.Millisecond):
				}
				s, err := r.EntryState(in)
				if err != nil || s.Revision == 0 {
					continue
				}
				if s.Revision < highest {
					t.Errorf("%s is at revision %d after %d", in.Name, s.Revision, highest)
				}
				highest = max(highest, s.Revision)
			}
		})
	}
	return func() {
		close(quit)
		wg.Wait()
	}
}

// Every instance cut off from every other, and all but one from the platform:
// each goes on serving alone; what was confirmed at the one reaches the others
// once the cut is over, and the views agree again.
func TestPartitionHeals(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, Proxy: true})
	confirmer := r.Instances[0]
	cut := func(on bool) {
		for _, in := range r.Instances {
			must(t, r.InjectLinkFault(proxy.Fault{Route: in.Name + "/coord", Cut: on}))
			must(t, r.InjectLinkFault(proxy.Fault{Route: in.Name + "/entry", Cut: on}))
			if in != confirmer {
				must(t, r.InjectLinkFault(proxy.Fault{Route: in.Name + "/platform", Cut: on}))
			}
		}
	}
	cut(true)
	res := runLoad(r, 60, 5*time.Second)
	t.Log(res.Summarize())
	verdict(t, r, res.Told)
	if allAlive(t, r) {
		t.Error("nobody noticed the cut")
	}
	p := plan(t, r, confirmer, changed(r, 1))
	d, err := confirm(r, confirmer, p.ID)
	must(t, err)
	if s, err := r.EntryState(r.Instances[5]); err != nil || s.Revision != 1 {
		t.Errorf("a cut instance has revision %d, %v", s.Revision, err)
	}
	cut(false)
	must(t, r.WaitRevision(d.Revision))
	must(t, r.WaitUntil("equal views", func() bool { return allAlive(t, r) }))
}

// allAlive reports whether every coord sees every instance alive.
func allAlive(t *testing.T, r *rig.Rig) bool {
	t.Helper()
	for _, in := range r.Instances {
		var s api.Status
		must(t, r.CallOperatorAPI(in, "GET", "/v1/status", "", &s))
		for _, m := range s.Instances {
			if m.State != "alive" {
				return false
			}
		}
		if len(s.Instances) != len(r.Instances) {
			return false
		}
	}
	return true
}
