package entry

import (
	"testing"
	"time"

	"quinceroad/coordination/outcome"
	"quinceroad/state/fleet"
)

// Whatever the body is: a run with a deadline ahead, or an answer that says not_run and why.
func FuzzNewRun(f *testing.F) {
	v := &view{pipelines: map[string]*fleet.Pipeline{"p": {Name: "p", DeadlineMS: 100, Priority: "normal"}}}
	c := &fleet.Customer{Name: "c", Priority: "urgent"}
	f.Add([]byte(`{"input":"x","deadline_ms":50,"priority":"batch","stream":true}`))
	f.Add([]byte(`{"input":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		now := time.Now()
		r, err := newRun(v, c, "p", body, now)
		switch {
		case err != nil && (err.Outcome != outcome.NotRun || err.Code == "" || err.Detail == "" || err.Status < 400):
			t.Fatalf("%+v", err)
		case err == nil && (!r.deadline.After(now) || r.deadline.Sub(now) > 100*time.Millisecond):
			t.Fatalf("deadline %s", r.deadline.Sub(now))
		}
	})
}
