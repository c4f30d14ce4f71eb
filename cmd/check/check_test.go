package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/cmd/standin/work"
	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
	"quinceroad/state/fleet"
	"quinceroad/transport/upstream"
)

var testFleet = &fleet.Fleet{Pipelines: []fleet.Pipeline{
	{Name: "p", Repeatable: true, Stages: []fleet.Stage{{Name: "a", Operation: "x"}, {Name: "b", Operation: "y"}}},
	{Name: "q", Stages: []fleet.Stage{{Name: "s", Operation: "store", AtMostOnce: true}}},
}}

// validHistory returns a history that violates no guarantee.
func validHistory() ([]Response, []api.Execution) {
	out := ExpectedOutput(&testFleet.Pipelines[0], "in")
	t0 := time.Now()
	responses := []Response{
		{Pipeline: "p", Input: "in", ID: "1", Outcome: outcome.Done, Output: out, Count: len(out), Digest: upstream.Digest([]byte(out)),
			Stages: []api.Stage{{Name: "a"}, {Name: "b"}}, Intended: t0, Answered: t0, Deadline: time.Second},
		{Pipeline: "p", Input: "no", ID: "2", Outcome: outcome.NotRun, Intended: t0, Answered: t0, Deadline: time.Second},
		{Pipeline: "q", Input: "n1", ID: "3.t", Ticket: "T.1", Outcome: outcome.Unknown, Intended: t0, Answered: t0},
	}
	journal := []api.Execution{
		{Request: "1", Stage: "a", Op: "x", Digest: upstream.Digest([]byte("in")), EndUS: 2},
		{Request: "1", Stage: "b", Op: "y", Digest: upstream.Digest(work.Output("x", []byte("in"))), EndUS: 3},
		{Request: "3.t", Stage: "s", Op: "store", Digest: upstream.Digest([]byte("n1"))},
	}
	return responses, journal
}

func violated(vs []Violation) map[string]bool {
	out := make(map[string]bool)
	for _, v := range vs {
		out[v.Guarantee] = true
	}
	return out
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	responses, journal := validHistory()
	is.New(t).Equal(len(All(testFleet, responses, journal)), 0)
}

func TestEachViolationIsDetected(t *testing.T) {
	cases := []struct {
		name, guarantee string
		corrupt         func(responses []Response, journal []api.Execution) ([]Response, []api.Execution)
	}{
		{"another request's answer", "P1", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			t[0].Output = ExpectedOutput(&testFleet.Pipelines[0], "other")
			t[0].Digest = upstream.Digest([]byte(t[0].Output))
			return t, j
		}},
		{"a stage missing from the report", "P1", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			t[0].Stages = t[0].Stages[:1]
			return t, j
		}},
		{"a stage that no replica completed", "P1", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			j[1].EndUS = 0
			return t, j
		}},
		{"a truncated answer", "P2", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			t[0].Output = t[0].Output[:3]
			return t, j
		}},
		{"executed but answered not_run", "P3", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			return t, append(j, api.Execution{Request: "2", Stage: "a", Op: "x"})
		}},
		{"retry answered not_run for an executed ticket", "P3", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			again := t[2]
			again.ID, again.Outcome = "", outcome.NotRun
			return append(t, again), j
		}},
		{"one id executed twice", "P4", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			return t, append(j, j[2])
		}},
		{"one ticket number under two ids", "P4", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			x := j[2]
			x.Request = "r.9"
			return t, append(j, x)
		}},
		{"a refusal after the deadline", "P8", func(t []Response, j []api.Execution) ([]Response, []api.Execution) {
			t[1].Answered = t[1].Intended.Add(3 * time.Second)
			return t, j
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			responses, journal := c.corrupt(validHistory())
			is.New(t).True(violated(All(testFleet, responses, journal))[c.guarantee])
		})
	}
}

func TestStartedAfterLeavingAndNotDone(t *testing.T) {
	is := is.New(t)
	at := time.Now()
	late := []api.Execution{{Replica: "r", StartUS: at.Add(4 * time.Second).UnixMicro()}}
	is.Equal(len(StartedAfterLeaving(late, "r", at, 3*time.Second)), 1)
	is.Equal(len(StartedAfterLeaving(late, "r", at, 5*time.Second)), 0)
	is.Equal(len(NotDone([]Response{{Outcome: outcome.Done}, {}, {Outcome: outcome.NotRun}})), 2)
}
