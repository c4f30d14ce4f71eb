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

const leavingGrace = 3 * time.Second // the requirement is "after a few seconds"

// P5: a replica that announces its shutdown gets no new work, even if the
// platform's list of replicas lags by ten seconds or the platform is down.
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
			checkGuarantees(t, r, res.Responses)
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
			for _, v := range check.StartedAfterLeaving(journal, "encoder-1", at, leavingGrace) {
				t.Error(v)
			}
		})
	}
}

// P5: a leaving replica gets no new work even if all coords are partitioned from
// each other: each entry learns of it from the replica's own answers.
func TestLeavingReplicaWithPartitionedCoords(t *testing.T) {
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
	checkGuarantees(t, r, res.Responses)
	journal, err := r.Journal()
	must(t, err)
	for _, v := range check.StartedAfterLeaving(journal, "encoder-1", <-left, leavingGrace) {
		t.Error(v)
	}
}

// shortAddressLifetime returns the declaration with a lifetime of one second for
// address answers. A planned stop waits for their expiry, so it is short.
func shortAddressLifetime(r *rig.Rig) string {
	return strings.Replace(r.Declaration, "address_lifetime_seconds = 3", "address_lifetime_seconds = 1", 1)
}

// P6: a rolling restart of all instances under load interrupts no request and
// refuses no request of a caller that follows its address answer.
func TestRollingRestart(t *testing.T) {
	r := start(t, rig.Options{ExampleDir: kalahari})
	_, err := r.Confirm(shortAddressLifetime(r))
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
	checkGuarantees(t, r, res.Responses)
	for _, v := range check.NotDone(res.Responses) {
		t.Error(v)
	}
}

// changedDeclaration returns the declaration with another rate for each n, so that
// it differs from the current one.
func changedDeclaration(r *rig.Rig, n int) string {
	return strings.Replace(r.Declaration, "rate = 400.0", fmt.Sprintf("rate = %d.0", 401+n), 1)
}

// createPlan sends a declaration to an instance and returns the plan for it.
func createPlan(t *testing.T, r *rig.Rig, in *rig.Instance, text string) api.Plan {
	t.Helper()
	var p api.Plan
	must(t, r.CallOperatorAPI(in, "POST", "/v1/plans", text, &p))
	return p
}

func confirmPlan(r *rig.Rig, in *rig.Instance, id string) (api.Confirmation, error) {
	var d api.Confirmation
	return d, r.CallOperatorAPI(in, "POST", "/v1/plans/"+id+"/confirm", "", &d)
}

// P7: when several operators confirm plans with the same base revision, one
// plan is confirmed and the others get a conflict; the confirmed one is in force
// at every entry within seconds.
func TestOperatorsRace(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	var plans []api.Plan
	for i, in := range r.Instances {
		plans = append(plans, createPlan(t, r, in, changedDeclaration(r, i)))
	}
	var mu sync.Mutex
	states := map[string]int{}
	var wg sync.WaitGroup
	for i, in := range r.Instances {
		wg.Go(func() {
			d, err := confirmPlan(r, in, plans[i].ID)
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

// P7: when the response to a compare-and-swap is lost, its result is read back
// from the store, and a repeated confirmation returns the same result.
func TestConfirmAnswerLost(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	p := createPlan(t, r, r.Instances[0], changedDeclaration(r, 1))
	must(t, r.InjectPlatformFault(platform.Faults{LoseAnswers: 1}))
	for range 2 {
		d, err := confirmPlan(r, r.Instances[0], p.ID)
		must(t, err)
		if d.State != "confirmed" || d.Revision != 2 {
			t.Errorf("%+v, want revision 2 confirmed", d)
		}
	}
	must(t, r.WaitRevision(2))
}

// P7: when the coord that accepted a confirmation is killed after its
// compare-and-swap took effect, the revision still reaches the other instances,
// and the operator gets the result by repeating the confirmation at another one.
func TestAcceptorKilledAfterSwap(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	acceptor, other := r.Instances[3], r.Instances[0]
	p := createPlan(t, r, acceptor, changedDeclaration(r, 1))
	must(t, r.InjectPlatformFault(platform.Faults{LoseAnswers: 1}))
	writes := platformStats(t, r).Writes
	confirmed := make(chan error, 1)
	go func() {
		_, err := confirmPlan(r, acceptor, p.ID)
		confirmed <- err
	}()
	must(t, r.WaitUntil("the compare-and-swap", func() bool { return platformStats(t, r).Writes > writes }))
	acceptor.Coord.Kill()
	<-confirmed // an error, or the response if it came before the kill
	d, err := confirmPlan(r, other, p.ID)
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

// P7: when the platform goes down right after a confirmation, the revision still
// reaches every instance, a process that starts during the outage gets it from
// its peers, and no entry returns to an earlier revision.
func TestConfigThroughOutage(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	stop := watchRevisions(t, r)
	p := createPlan(t, r, r.Instances[0], changedDeclaration(r, 1))
	d, err := confirmPlan(r, r.Instances[0], p.ID)
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
	if _, err := confirmPlan(r, r.Instances[0], p.ID); err == nil {
		t.Error("a confirmation while the platform is down was not refused")
	}
	res := runLoad(r, 60, 2*time.Second)
	checkGuarantees(t, r, res.Responses)
	stop()
}

// P7: when the platform returns older data, or has lost the newest revision for
// good, no process returns to an earlier revision, including those that start
// meanwhile, and operators can continue from the revision in force.
func TestConfigStalePlatform(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	p := createPlan(t, r, r.Instances[0], changedDeclaration(r, 1))
	d, err := confirmPlan(r, r.Instances[0], p.ID)
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
	restoreOlderConfig(t, r)
	res := runLoad(r, 60, 3*time.Second)
	checkGuarantees(t, r, res.Responses)
	stop()
	must(t, r.WaitRevision(d.Revision))
	next := createPlan(t, r, r.Instances[1], changedDeclaration(r, 2))
	d, err = confirmPlan(r, r.Instances[1], next.ID)
	must(t, err)
	if d.State != "confirmed" || d.Revision != 3 {
		t.Errorf("%+v, want revision 3 confirmed", d)
	}
	must(t, r.WaitRevision(3))
}

// restoreOlderConfig replaces the newest configuration in the store by an older
// one, as happens when a store is restored from a backup.
func restoreOlderConfig(t *testing.T, r *rig.Rig) {
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
// called. The test fails if the revision of an instance's entry decreases, also
// across a restart. An entry that has no revision yet is ignored.
func watchRevisions(t *testing.T, r *rig.Rig) func() {
	t.Helper()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, in := range r.Instances {
		wg.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-done:
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
		close(done)
		wg.Wait()
	}
}

// While every instance is partitioned from every other, and all but one from the
// platform, each continues to serve on its own. After the partition a revision
// that was confirmed at the one instance reaches the others, and all instances
// agree again on who is alive.
func TestPartitionHeals(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari, Proxy: true})
	confirmer := r.Instances[0]
	setPartition := func(on bool) {
		for _, in := range r.Instances {
			must(t, r.InjectLinkFault(proxy.Fault{Route: in.Name + "/coord", Cut: on}))
			must(t, r.InjectLinkFault(proxy.Fault{Route: in.Name + "/entry", Cut: on}))
			if in != confirmer {
				must(t, r.InjectLinkFault(proxy.Fault{Route: in.Name + "/platform", Cut: on}))
			}
		}
	}
	setPartition(true)
	res := runLoad(r, 60, 5*time.Second)
	t.Log(res.Summarize())
	checkGuarantees(t, r, res.Responses)
	if allInstancesAlive(t, r) {
		t.Error("no coord detected the partition")
	}
	p := createPlan(t, r, confirmer, changedDeclaration(r, 1))
	d, err := confirmPlan(r, confirmer, p.ID)
	must(t, err)
	if s, err := r.EntryState(r.Instances[5]); err != nil || s.Revision != 1 {
		t.Errorf("a partitioned instance has revision %d, %v", s.Revision, err)
	}
	setPartition(false)
	must(t, r.WaitRevision(d.Revision))
	must(t, r.WaitUntil("all instances alive at every coord", func() bool { return allInstancesAlive(t, r) }))
}

// allInstancesAlive reports whether every coord sees every instance alive.
func allInstancesAlive(t *testing.T, r *rig.Rig) bool {
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
