package entry

import (
	"testing"
	"time"

	"quinceroad/coordination/outcome"
	"quinceroad/state/fleet"
)

// For any body, newRun returns either a run with a deadline in the future and within the
// pipeline's, or an error with outcome not_run, a code, a detail and an error status.
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
