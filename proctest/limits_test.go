package proctest

import (
	"strings"
	"testing"
	"time"

	"quinceroad/cmd/load"
	"quinceroad/proctest/rig"
)

// A customer's rate limit holds for all entries together, and a customer that
// uses a single entry can use all of it there: at half the rate hardly anything
// is refused at one entry, and at three times the rate little more than the rate
// is admitted by all entries together.
func TestRateLimitSpansEntries(t *testing.T) {
	const rate, seconds = 60, 5
	r := start(t, rig.Options{ExampleDir: kalahari})
	text := strings.Replace(r.Declaration, "rate = 400.0\nburst = 800.0", "rate = 60.0\nburst = 12.0", 1)
	if text == r.Declaration {
		t.Fatal("the example's declaration has changed")
	}
	_, err := r.Confirm(text)
	must(t, err)
	send := func(entries []string, requestRate float64) (refused, sent int) {
		res := load.Run(load.Options{
			Entries: entries, Seed: 5, Phases: []load.Phase{{Duration: seconds * time.Second, Rate: requestRate}},
			Mix: []load.Mix{{Customer: "archive-clerks", Pipeline: "desk-lookup", Share: 1, Deadline: 500 * time.Millisecond, Entries: entries}},
		})
		for _, x := range res.Responses {
			if x.Intended.Before(res.Start.Add(2 * time.Second)) {
				continue // until the entries have adjusted their shares of the rate
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
	t.Logf("three times the rate at all entries: %d of %d admitted", passed, sent)
	if limit := rate * (seconds - 2) * 3 / 2; passed > limit {
		t.Errorf("%d requests admitted in %d s, the customer's rate is %d requests per second", passed, seconds-2, rate)
	}
}
