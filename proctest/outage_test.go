package proctest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/platform"
	"quinceroad/coordination/outcome"
	"quinceroad/proctest/rig"
	"quinceroad/protocol/api"
	"quinceroad/transport/upstream"
)

func platformStats(t *testing.T, r *rig.Rig) platform.Stats {
	t.Helper()
	resp, err := http.Get("http://" + r.Platform + "/stats")
	must(t, err)
	defer resp.Body.Close()
	var s platform.Stats
	must(t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// After an outage the platform is not overloaded: the number of calls it gets
// depends on the number of halls, not of instances, and the readers reconnect at
// different times.
func TestRecoveryAfterOutage(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	must(t, r.InjectPlatformFault(platform.Faults{Down: true}))
	res := runLoad(r, 60, 4*time.Second)
	checkGuarantees(t, r, res.Responses)
	for _, v := range check.NotDone(res.Responses) {
		t.Error("during the outage:", v)
	}
	before := platformStats(t, r)
	must(t, r.InjectPlatformFault(platform.Faults{}))
	const seconds = 10
	runLoad(r, 60, seconds*time.Second)
	after := platformStats(t, r)
	halls := len(r.Fleet.Halls)
	calls := after.Reads - before.Reads + after.Watches - before.Watches + after.Writes - before.Writes
	t.Logf("%d calls in the %d s after the outage, %d halls, %d waiting watches", calls, seconds, halls, after.Waiting)
	// Each hall makes one list call a second and a watch or two; twice that is
	// allowed on a slow machine.
	if maxCalls := 2 * halls * (seconds + 3); calls > maxCalls {
		t.Errorf("%d calls, want at most %d", calls, maxCalls)
	}
	if after.Waiting > halls {
		t.Errorf("%d waiting watches for %d halls", after.Waiting, halls)
	}
}

// P4: a home that stops while the platform is down can't hand its ledger over to
// a successor; its numbers are unknown afterwards and none runs twice.
func TestStopDuringOutage(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	c := newCaller(r, 0)
	home := homeOf(t, r, c)
	first := c.Do(fieldReport("before"))
	if first.Outcome != outcome.Done {
		t.Fatalf("before the stop: %s %s", first.Outcome, first.Code)
	}
	must(t, r.InjectPlatformFault(platform.Faults{Down: true}))
	home.Entry.Stop()
	if code := home.Entry.Wait(); code != 0 {
		t.Errorf("planned stop: exit code %d", code)
	}
	answers := []check.Response{first}
	for _, in := range otherInstances(r, home) {
		x := retryAt(c, first, in)
		if x.Outcome != outcome.Unknown {
			t.Errorf("a retry after the stop: %s %s, want unknown", x.Outcome, x.Code)
		}
		answers = append(answers, x)
	}
	checkGuarantees(t, r, answers)
}

// A rolling restart as for P6 during which one entry is killed and one is frozen
// for a while: no guarantee is violated, though requests at the killed entry end.
func TestRollingRestartWithCrash(t *testing.T) {
	r := start(t, rig.Options{ExampleDir: kalahari})
	_, err := r.Confirm(shortAddressLifetime(r))
	must(t, err)
	var res *load.Result
	var wg sync.WaitGroup
	wg.Go(func() { res = runLoad(r, 60, 16*time.Second) })
	for i, in := range r.Instances {
		switch i {
		case 2:
			in.Entry.Kill()
		case 4:
			in.Entry.Freeze()
			time.AfterFunc(1500*time.Millisecond, in.Entry.Thaw)
			fallthrough
		default:
			in.Entry.Stop()
			in.Entry.Wait()
		}
		in.Coord.Stop()
		in.Coord.Wait()
		must(t, r.StartCoord(in))
		must(t, r.StartEntry(in))
		must(t, r.WaitRevision(1))
	}
	wg.Wait()
	sum := res.Summarize()
	t.Log(sum)
	checkGuarantees(t, r, res.Responses)
	if sum.ByOutcome[outcome.Done] < sum.Sent*9/10 {
		t.Errorf("%d of %d done, with one of six entries killed and one frozen", sum.ByOutcome[outcome.Done], sum.Sent)
	}
}

// P2: a caller that reads its stream slowly receives all of it.
func TestSlowCaller(t *testing.T) {
	r := deploy(t, rig.Options{ExampleDir: kalahari})
	p, _ := r.Fleet.Pipeline("safety-summary")
	body := `{"input":"slowly","stream":true}`
	req, err := http.NewRequest("POST", fmt.Sprintf("http://%s/v1/pipelines/%s/runs", r.Entries()[0], p.Name), strings.NewReader(body))
	must(t, err)
	req.Header.Set(api.HeaderAuthorization, "Bearer key-"+r.Fleet.Customers[0].Name)
	resp, err := http.DefaultClient.Do(req)
	must(t, err)
	defer resp.Body.Close()
	var output strings.Builder
	var end api.RunAnswer
	ended := false
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		<-time.After(10 * time.Millisecond) // a slow reader
		data, isData := strings.CutPrefix(sc.Text(), "data: ")
		switch {
		case sc.Text() == "event: end":
			ended = true
		case isData && ended:
			must(t, json.Unmarshal([]byte(data), &end))
		case isData:
			var tok api.Token
			must(t, json.Unmarshal([]byte(data), &tok))
			output.WriteString(tok.Text)
		}
	}
	must(t, sc.Err())
	if end.Outcome != outcome.Done || output.String() != check.ExpectedOutput(p, "slowly") || end.Digest != upstream.Digest([]byte(output.String())) {
		t.Errorf("%s: %q, digest %s", end.Outcome, output.String(), end.Digest)
	}
}
