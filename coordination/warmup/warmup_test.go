package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// maxInAnySecond returns the largest number of sends within any second.
func maxInAnySecond(sent []time.Duration) int {
	out := 0
	for i := range sent {
		n := 0
		for _, later := range sent[i:] {
			if later-sent[i] < time.Second {
				n++
			}
		}
		out = max(out, n)
	}
	return out
}

// A replica gets no more requests in any second than the deployment allows, also while
// two owners count at the same time.
func TestNoSecondExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Overrun: rapid.Float64Range(1.2, 3).Draw(t, "overrun"), Slack: rapid.Float64Range(2, 20).Draw(t, "slack")}
		rate := rapid.Float64Range(0.5, 200).Draw(t, "carries")
		owners := []*Window{NewWindow(), NewWindow()}
		now := time.Duration(0)
		var sent []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			w := rapid.SampledFrom(owners).Draw(t, "owner")
			free := w.NextAllowed(now, "r", l.MaxPerSender(rate))
			if free > now {
				if w.NextAllowed(free, "r", l.MaxPerSender(rate)) > free {
					t.Fatalf("not allowed at %v, the time that NextAllowed returned", free)
				}
				continue
			}
			w.Record(now, "r")
			sent = append(sent, now)
		}
		if got, allowed := maxInAnySecond(sent), rate*l.Overrun+l.Slack; float64(got) > allowed {
			t.Fatalf("%d requests within a second, %.1f are allowed", got, allowed)
		}
	})
}

// The quotas of all instances add up to at most the limit, also while instances
// disagree on who is alive.
func TestQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Overrun: 1.5, Slack: 5}
		rate := rapid.Float64Range(0.5, 200).Draw(t, "carries")
		n := rapid.IntRange(1, 100).Draw(t, "instances")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("i", i))
		}
		others := names[rapid.IntRange(0, n/2).Draw(t, "lost"):]
		all := l.MaxPerSender(rate)
		sum, either := 0, 0
		for _, name := range names {
			q := Quota(name, names, "r", all)
			sum += q
			either += max(q, Quota(name, others, "r", all))
		}
		if sum > all || sum < all/2 || sum == 0 {
			t.Fatalf("the quotas add up to %d of %d", sum, all)
		}
		if float64(either) > rate*l.Overrun+l.Slack {
			t.Fatalf("quotas of both views add up to %d, %.1f are allowed", either, rate*l.Overrun+l.Slack)
		}
	})
}

func TestEveryReplicaGetsRequests(t *testing.T) {
	is := is.New(t)
	is.Equal(Limit{}.MaxPerSender(0.1), 1)
	is.Equal(Limit{Overrun: 1.5, Slack: 5}.MaxPerSender(6.7), 6)
	is.Equal(Limit{Overrun: 1.5, Slack: 5}.MaxPerSender(100), 77)
	is.Equal(Quota("a", []string{"a"}, "r", 6), 6)
	is.Equal(Quota("x", []string{"a"}, "r", 6), 0)
	is.Equal(Quota("a", nil, "r", 6), 0)
}
