// Package check compares the responses that callers received with the executions that
// the upstreams journalled, and reports every violated guarantee. It relies on no
// record of the entries or coords.
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

// Response is one request sent and the response that its caller received.
type Response struct {
	Customer string
	Label    string // the caller's own id
	Pipeline string
	Input    string
	Ticket   string // with its number; "" for a request without a ticket
	Intended time.Time
	Answered time.Time
	Deadline time.Duration
	Status   int // HTTP status; 0: no response
	Outcome  outcome.Kind
	Code     string
	ID       string
	Output   string
	Count    int
	Digest   string
	Stages   []api.Stage
}

// Violation is one violated guarantee, named by its row in docs/PROOFS.md.
type Violation struct {
	Guarantee string
	ID        string
	Text      string
}

// String returns "P3 id: text".
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Guarantee, v.ID, v.Text) }

// history joins responses and executions.
type history struct {
	fleet      *fleet.Fleet
	responses  []Response
	executions map[string][]api.Execution // by request id
	violations []Violation

	ticketIDs map[ticketedRequest][]string // ids in the responses to a ticketed request
}

// ticketedRequest identifies a request with a ticket.
type ticketedRequest struct{ ticket, input string }

// All checks every guarantee that responses and journal alone can show to be violated.
func All(f *fleet.Fleet, responses []Response, journal []api.Execution) []Violation {
	h := &history{fleet: f, responses: responses, executions: make(map[string][]api.Execution), ticketIDs: make(map[ticketedRequest][]string)}
	for _, r := range responses {
		if r.Ticket != "" && r.ID != "" {
			key := ticketedRequest{r.Ticket, r.Input}
			h.ticketIDs[key] = append(h.ticketIDs[key], r.ID)
		}
	}
	for _, x := range journal {
		h.executions[x.Request] = append(h.executions[x.Request], x)
	}
	for i := range responses {
		r := &responses[i]
		p, ok := f.Pipeline(r.Pipeline)
		if !ok {
			continue
		}
		h.checkOutput(r, p)
		h.checkComplete(r)
		h.checkNotRun(r)
		h.checkRefusalTime(r)
	}
	h.checkAtMostOnce()
	return h.violations
}

func (h *history) add(guarantee, id, format string, args ...any) {
	h.violations = append(h.violations, Violation{Guarantee: guarantee, ID: id, Text: fmt.Sprintf(format, args...)})
}

// ExpectedOutput returns the output of a pipeline for an input.
func ExpectedOutput(p *fleet.Pipeline, input string) string {
	b := []byte(input)
	for _, s := range p.Stages {
		b = work.Output(s.Operation, b)
	}
	return string(b)
}

// checkOutput checks P1: a done answer is this request's own, and each stage ran on its input.
func (h *history) checkOutput(r *Response, p *fleet.Pipeline) {
	if r.Outcome != outcome.Done {
		return
	}
	if want := upstream.Digest([]byte(ExpectedOutput(p, r.Input))); r.Digest != want {
		h.add("P1", r.ID, "digest of the answer is %s, expected %s for this request", r.Digest, want)
	}
	if len(r.Stages) != len(p.Stages) {
		h.add("P1", r.ID, "%d stages reported, the pipeline has %d", len(r.Stages), len(p.Stages))
		return
	}
	in := []byte(r.Input)
	for i, s := range p.Stages {
		if r.Stages[i].Name != s.Name || !h.hasEnded(r.ID, s.Name, upstream.Digest(in)) {
			h.add("P1", r.ID, "stage %s was reported done, but no replica completed it for this input", s.Name)
		}
		in = work.Output(s.Operation, in)
	}
}

// hasEnded reports whether a replica completed the request's stage for the input with
// this digest.
func (h *history) hasEnded(id, stage, digest string) bool {
	for _, x := range h.executions[id] {
		if x.Stage == stage && x.Digest == digest && x.EndUS > 0 {
			return true
		}
	}
	return false
}

// checkComplete checks P2: a done answer has all its bytes.
func (h *history) checkComplete(r *Response) {
	if r.Outcome != outcome.Done {
		return
	}
	if r.Count != len(r.Output) || r.Digest != upstream.Digest([]byte(r.Output)) {
		h.add("P2", r.ID, "the answer states %d bytes, digest %s; %d bytes received", r.Count, r.Digest, len(r.Output))
	}
}

// checkNotRun checks P3: a request answered not_run has no execution, neither under its
// own id nor, if it has a ticket, under the id in another response to the same request.
func (h *history) checkNotRun(r *Response) {
	if r.Outcome != outcome.NotRun {
		return
	}
	if n := len(h.executions[r.ID]); r.ID != "" && n > 0 {
		h.add("P3", r.ID, "answered not_run (%s), but %d executions started", r.Code, n)
		return
	}
	for _, id := range h.ticketIDs[ticketedRequest{r.Ticket, r.Input}] {
		if n := len(h.executions[id]); n > 0 {
			h.add("P3", id, "answered not_run (%s) once, but %d executions started", r.Code, n)
			return
		}
	}
}

// refusalGrace is how long after the deadline a refusal may arrive on a busy machine. A
// system that holds refusals back shows far more of them near this bound.
const refusalGrace = 500 * time.Millisecond

// checkRefusalTime checks a bound on P8: no refusal arrives after the deadline.
func (h *history) checkRefusalTime(r *Response) {
	if r.Outcome == outcome.NotRun && r.Answered.Sub(r.Intended) > r.Deadline+refusalGrace {
		h.add("P8", r.ID, "answered not_run %s after it was sent, deadline %s", r.Answered.Sub(r.Intended), r.Deadline)
	}
}

// checkAtMostOnce checks P4: an at-most-once stage started at most once per ticket number.
func (h *history) checkAtMostOnce() {
	atMostOnce := make(map[string]bool)
	for _, p := range h.fleet.Pipelines {
		for _, s := range p.Stages {
			if s.AtMostOnce {
				atMostOnce[s.Name+"/"+s.Operation] = true
			}
		}
	}
	for id, xs := range h.executions {
		n := 0
		for _, x := range xs {
			if atMostOnce[x.Stage+"/"+x.Op] {
				n++
			}
		}
		if n > 1 {
			h.add("P4", id, "an at-most-once stage started %d times", n)
		}
	}
	h.checkTicketsAtMostOnce(atMostOnce)
}

// checkTicketsAtMostOnce joins by input as well, which shows two ids for one ticket
// number: the load client gives each number a different input.
func (h *history) checkTicketsAtMostOnce(atMostOnce map[string]bool) {
	idsByInput := make(map[string]map[string]bool) // input digest -> request ids
	for _, r := range h.responses {
		if r.Ticket != "" {
			idsByInput[upstream.Digest([]byte(r.Input))] = make(map[string]bool)
		}
	}
	for id, xs := range h.executions {
		ids, ok := idsByInput[firstInputDigest(xs)]
		for _, x := range xs {
			if ok && atMostOnce[x.Stage+"/"+x.Op] {
				ids[id] = true
			}
		}
	}
	for digest, ids := range idsByInput {
		if len(ids) > 1 {
			h.add("P4", digest, "one ticket number ran under %d ids", len(ids))
		}
	}
}

// firstInputDigest returns the input digest of the earliest execution.
func firstInputDigest(xs []api.Execution) string {
	first := xs[0]
	for _, x := range xs {
		if x.StartUS < first.StartUS {
			first = x
		}
	}
	return first.Digest
}

// StartedAfterLeaving checks P5: no execution started on a replica later than grace
// after the replica was reported to be leaving.
func StartedAfterLeaving(journal []api.Execution, replica string, at time.Time, grace time.Duration) []Violation {
	var out []Violation
	for _, x := range journal {
		if after := time.UnixMicro(x.StartUS).Sub(at); x.Replica == replica && after > grace {
			out = append(out, Violation{Guarantee: "P5", ID: x.Request, Text: fmt.Sprintf("started on %s %s after it was reported leaving", replica, after)})
		}
	}
	return out
}

// NotDone checks P6: every request was answered as done.
func NotDone(responses []Response) []Violation {
	var out []Violation
	for _, r := range responses {
		if r.Outcome != outcome.Done {
			text := fmt.Sprintf("not done but %q, code %q, status %d", r.Outcome, r.Code, r.Status)
			out = append(out, Violation{Guarantee: "P6", ID: r.ID, Text: strings.TrimSpace(text)})
		}
	}
	return out
}

// StaleFences checks P9: no engine that checks fencing tokens obeys a lower one than it has obeyed before.
func StaleFences(orders []api.OrderRecord) []Violation {
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
