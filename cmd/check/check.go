// Package check joins what callers were told with what the upstreams journalled
// and names every broken promise. It trusts neither the entries nor the coords.
package check

import (
	"fmt"
	"strings"
	"time"

	"quinceroad/cmd/standin/work"
	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
	"quinceroad/state/fleet"
	"quinceroad/transport/upstream"
)

// Told is one receipt of a request and what its caller was told.
type Response struct {
	Customer string
	Label    string // the caller's own id
	Pipeline string
	Input    string
	Ticket   string // with its number; "" without
	Intended time.Time
	Answered time.Time
	Deadline time.Duration
	Status   int // 0: no answer came
	Outcome  outcome.Kind
	Code     string
	ID       string
	Output   string
	Count    int
	Digest   string
	Stages   []api.Stage
}

// Violation is one broken promise; Row is that of docs/PROOFS.md.
type Violation struct {
	Guarantee string
	ID        string
	Text      string
}

// String returns "P3 id: text".
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Guarantee, v.ID, v.Text) }

// history is the two sides joined.
type history struct {
	fleet *fleet.Fleet
	told  []Response
	ran   map[string][]api.Execution // by request id
	found []Violation

	receipts map[receipt][]string // ids that the receipts of a numbered request were told
}

// receipt names a numbered request.
type receipt struct{ ticket, input string }

// All checks every row that histories alone can show.
func All(f *fleet.Fleet, told []Response, journal []api.Execution) []Violation {
	h := &history{fleet: f, told: told, ran: make(map[string][]api.Execution), receipts: make(map[receipt][]string)}
	for _, t := range told {
		if t.Ticket != "" && t.ID != "" {
			key := receipt{t.Ticket, t.Input}
			h.receipts[key] = append(h.receipts[key], t.ID)
		}
	}
	for _, x := range journal {
		h.ran[x.Request] = append(h.ran[x.Request], x)
	}
	for i := range told {
		t := &told[i]
		p, ok := f.Pipeline(t.Pipeline)
		if !ok {
			continue
		}
		h.own(t, p)
		h.whole(t)
		h.notRun(t)
		h.immediate(t)
	}
	h.once()
	return h.found
}

func (h *history) add(row, id, format string, args ...any) {
	h.found = append(h.found, Violation{Guarantee: row, ID: id, Text: fmt.Sprintf(format, args...)})
}

// Expect returns the output of a pipeline for an input.
func ExpectedOutput(p *fleet.Pipeline, input string) string {
	b := []byte(input)
	for _, s := range p.Stages {
		b = work.Output(s.Operation, b)
	}
	return string(b)
}

// own is P1: a done answer is this request's own, over each stage once.
func (h *history) own(t *Response, p *fleet.Pipeline) {
	if t.Outcome != outcome.Done {
		return
	}
	if want := upstream.Digest([]byte(ExpectedOutput(p, t.Input))); t.Digest != want {
		h.add("P1", t.ID, "the answer's digest is %s, this request's is %s", t.Digest, want)
	}
	if len(t.Stages) != len(p.Stages) {
		h.add("P1", t.ID, "%d stages reported, the pipeline has %d", len(t.Stages), len(p.Stages))
		return
	}
	in := []byte(t.Input)
	for i, s := range p.Stages {
		if t.Stages[i].Name != s.Name || !h.ended(t.ID, s.Name, upstream.Digest(in)) {
			h.add("P1", t.ID, "stage %s was reported done but no replica ended it for this input", s.Name)
		}
		in = work.Output(s.Operation, in)
	}
}

func (h *history) ended(id, stage, digest string) bool {
	for _, x := range h.ran[id] {
		if x.Stage == stage && x.Digest == digest && x.EndUS > 0 {
			return true
		}
	}
	return false
}

// whole is P2: a done answer has all its bytes.
func (h *history) whole(t *Response) {
	if t.Outcome != outcome.Done {
		return
	}
	if t.Count != len(t.Output) || t.Digest != upstream.Digest([]byte(t.Output)) {
		h.add("P2", t.ID, "the answer says %d bytes, digest %s; %d came", t.Count, t.Digest, len(t.Output))
	}
}

// notRun is P3: what was told not_run has no execution, neither under its own
// id nor, for a numbered one, under that of another receipt of the same request.
func (h *history) notRun(t *Response) {
	if t.Outcome != outcome.NotRun {
		return
	}
	if n := len(h.ran[t.ID]); t.ID != "" && n > 0 {
		h.add("P3", t.ID, "told not_run (%s), but %d executions began", t.Code, n)
		return
	}
	for _, id := range h.receipts[receipt{t.Ticket, t.Input}] {
		if n := len(h.ran[id]); n > 0 {
			h.add("P3", id, "one receipt was told not_run (%s), but %d executions began", t.Code, n)
			return
		}
	}
}

// immediateSlack is how long past a deadline a refusal may take on a busy
// machine; holding it back on purpose shows as far more refusals near it.
const immediateSlack = 500 * time.Millisecond

// immediate is a bound on P8: no refusal comes after the deadline.
func (h *history) immediate(t *Response) {
	if t.Outcome == outcome.NotRun && t.Answered.Sub(t.Intended) > t.Deadline+immediateSlack {
		h.add("P8", t.ID, "told not_run %s after it was sent, deadline %s", t.Answered.Sub(t.Intended), t.Deadline)
	}
}

// once is P4: a stage with an effect began at most once per ticketed number.
func (h *history) once() {
	onceStage := make(map[string]bool)
	for _, p := range h.fleet.Pipelines {
		for _, s := range p.Stages {
			if s.AtMostOnce {
				onceStage[s.Name+"/"+s.Operation] = true
			}
		}
	}
	for id, xs := range h.ran {
		n := 0
		for _, x := range xs {
			if onceStage[x.Stage+"/"+x.Op] {
				n++
			}
		}
		if n > 1 {
			h.add("P4", id, "a stage that may not be repeated began %d times", n)
		}
	}
	h.ticketsOnce(onceStage)
}

// ticketsOnce joins by input too, so that two ids for one number would show:
// the load client gives each number an input of its own.
func (h *history) ticketsOnce(onceStage map[string]bool) {
	ids := make(map[string]map[string]bool) // input digest -> request ids
	for _, t := range h.told {
		if t.Ticket != "" {
			ids[upstream.Digest([]byte(t.Input))] = make(map[string]bool)
		}
	}
	for id, xs := range h.ran {
		set, ok := ids[firstInput(xs)]
		for _, x := range xs {
			if ok && onceStage[x.Stage+"/"+x.Op] {
				set[id] = true
			}
		}
	}
	for digest, set := range ids {
		if len(set) > 1 {
			h.add("P4", digest, "one number ran under %d ids", len(set))
		}
	}
}

func firstInput(xs []api.Execution) string {
	first := xs[0]
	for _, x := range xs {
		if x.StartUS < first.StartUS {
			first = x
		}
	}
	return first.Digest
}

// Left is P5: no execution began on a replica later than grace after it was
// said to leave.
func StartedAfterLeaving(journal []api.Execution, replica string, at time.Time, grace time.Duration) []Violation {
	var out []Violation
	for _, x := range journal {
		if after := time.UnixMicro(x.StartUS).Sub(at); x.Replica == replica && after > grace {
			out = append(out, Violation{Guarantee: "P5", ID: x.Request, Text: fmt.Sprintf("began on %s %s after it left", replica, after)})
		}
	}
	return out
}

// Unended is P6: every request was answered, and as done.
func NotDone(told []Response) []Violation {
	var out []Violation
	for _, t := range told {
		if t.Outcome != outcome.Done {
			text := fmt.Sprintf("not done but %q, code %q, status %d", t.Outcome, t.Code, t.Status)
			out = append(out, Violation{Guarantee: "P6", ID: t.ID, Text: strings.TrimSpace(text)})
		}
	}
	return out
}

// Fenced is P9: no engine that checks obeys a token lower than one it has obeyed.
func StaleFences(orders []api.Ordered) []Violation {
	highest := make(map[string]uint64)
	var out []Violation
	for _, o := range orders {
		if o.Obeyed && o.Fence < highest[o.Replica] {
			out = append(out, Violation{Guarantee: "P9", ID: o.Replica, Text: fmt.Sprintf("obeyed token %d after %d", o.Fence, highest[o.Replica])})
		}
		if o.Obeyed {
			highest[o.Replica] = o.Fence
		}
	}
	return out
}
