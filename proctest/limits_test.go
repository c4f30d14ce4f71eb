package proctest

import (
	"strings"
	"testing"
	"time"

	"quinceroad/cmd/load"
	"quinceroad/proctest/rig"
)

// A customer's one rate follows it to the entries it uses: nothing is refused
// while it stays under it at a single entry, and at all entries together it
// gets little more.
func TestLimitFollowsCustomer(t *testing.T) {
	const rate, seconds = 60, 5
	r := start(t, rig.Options{ExampleDir: kalahari})
	text := strings.Replace(r.Declaration, "rate = 400.0\nburst = 800.0", "rate = 60.0\nburst = 12.0", 1)
	if text == r.Declaration {
		t.Fatal("the example's declaration has changed")
	}
	_, err := r.Confirm(text)
	must(t, err)
	send := func(at []string, perSecond float64) (refused, sent int) {
		res := load.Run(load.Options{
			Known: at, Seed: 5, Phases: []load.Phase{{For: seconds * time.Second, Rate: perSecond}},
			Mix: []load.Mix{{Customer: "archive-clerks", Pipeline: "desk-lookup", Share: 1, Deadline: 500 * time.Millisecond, Only: at}},
		})
		for _, x := range res.Told {
			if x.Intended.Before(res.Began.Add(2 * time.Second)) {
				continue // the shares settle
			}
			sent++
			if x.Code == "rate_limited" {
				refused++
			}
		}
		return refused, sent
	}
	refused, sent := send(r.Entries()[:1], rate/2)
	t.Logf("half the rate at one entry: %d of %d refused", refused, sent)
	if refused > sent/10 {
		t.Errorf("%d of %d refused at one entry, at half the customer's rate", refused, sent)
	}
	refused, sent = send(r.Entries(), 3*rate)
	passed := sent - refused
	t.Logf("three times the rate at all entries: %d of %d passed", passed, sent)
	if most := rate * (seconds - 2) * 3 / 2; passed > most {
		t.Errorf("%d passed in %d s, the customer's rate is %d a second", passed, seconds-2, rate)
	}
}
