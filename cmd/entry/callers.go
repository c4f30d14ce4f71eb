package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/addresses"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/ticket"
	"quinceroad/protocol/api"
	"quinceroad/protocol/event"
	"quinceroad/state/fleet"
	"quinceroad/transport/peek"
	"quinceroad/transport/web"
)

const (
	mostAddresses = 3
	maxLabel      = 64 // bytes of a caller's own request id
	minDeadlineMS = 1
)

// The codes of refusals that another declaration would not have brought.
const (
	codeNoPipeline = "unknown_pipeline"
	codeNoCustomer = "unknown_customer"
	codeNotReady   = "not_ready"
)

// handler serves callers.
func (e *Entry) handler(ctx *fasthttp.RequestCtx) {
	if e.leaving.Load() {
		ctx.SetConnectionClose() // a connection kept idle would be lost with the process
	}
	path := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	switch {
	case len(path) == 2 && path[1] == "addresses":
		e.serveAddresses(ctx)
	case len(path) == 4 && path[1] == "pipelines" && path[3] == "runs":
		e.serveRun(ctx, path[2])
	default:
		web.Fail(ctx, bad("", 404, "no_such_call", "have GET /v1/addresses and POST /v1/pipelines/NAME/runs"))
	}
}

// bad is an answer to a wrong request: it was not run.
func bad(id string, status int, code, format string, args ...any) *api.Error {
	return &api.Error{ID: id, Status: status, Code: code, Detail: fmt.Sprintf(format, args...), Outcome: outcome.NotRun}
}

// doubt makes unknown of a refusal that rests on the declaration of today: the
// number may have run under yesterday's, and only its home's ledger can tell.
func doubt(err *api.Error, ticket string) *api.Error {
	today := err.Code == codeNoPipeline || err.Code == codeNoCustomer || err.Code == codeNotReady
	if ticket != "" && today {
		err.Outcome = outcome.Unknown
	}
	return err
}

// caller returns the customer whose key the request carries.
func (e *Entry) caller(ctx *fasthttp.RequestCtx, v *view) (*fleet.Customer, *api.Error) {
	if v == nil || v.fleet == nil {
		return nil, &api.Error{Status: 503, Code: codeNotReady, Detail: "this instance has no configuration yet", Outcome: outcome.NotRun, RetryAfterMS: 1000}
	}
	key := web.Bearer(ctx)
	if key == "" {
		return nil, bad("", 401, "missing_key", "send the customer's key as Authorization: Bearer KEY")
	}
	// The map is keyed by digests: what a lookup's time tells of them does not
	// help to find a key.
	c, ok := v.customers[web.KeyDigest(key)]
	if !ok {
		event.Unauthorized.Log(e.log, "code", codeNoCustomer, "path", string(ctx.Path()))
		return nil, bad("", 401, codeNoCustomer, "no customer has this key")
	}
	return c, nil
}

// serveAddresses tells a caller which entries to use, for how long, and under
// which ticket to number requests that may not be repeated.
func (e *Entry) serveAddresses(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		web.Fail(ctx, bad("", 405, "wrong_method", "use GET"))
		return
	}
	v := e.view.Load()
	c, fail := e.caller(ctx, v)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	out := api.AddressAnswer{LifetimeMS: e.lifetime(v).Milliseconds()}
	out.Addresses = e.choose(v, string(ctx.Request.Header.Peek(api.HeaderHall)))
	out.Home = e.homeAddress(out.Addresses)
	out.Ticket = e.keys.Mint(ticket.Prefix{
		Home: e.set.Name, Incarnation: e.incarnation, Nonce: rand.Uint64(), Issued: e.now(), Customer: c.Name,
	})
	web.JSON(ctx, 200, out)
}

// lifetime is jittered downwards, so that callers do not all return at once;
// the declared lifetime stays the longest.
func (e *Entry) lifetime(v *view) time.Duration {
	most := v.lifetime()
	return most - time.Duration(rand.Int64N(int64(most/4)+1))
}

func (e *Entry) choose(v *view, hall string) []api.Address {
	var out []api.Address
	for _, a := range addresses.Choose(v.members, hall, fmt.Sprint(rand.Uint64()), mostAddresses) {
		if e.leaving.Load() && a.Instance == e.set.Name {
			continue
		}
		out = append(out, api.Address{Instance: a.Instance, Address: a.Address, Hall: a.Hall})
	}
	return out
}

// homeAddress is where a new ticket's numbers should be sent: here, since this
// entry's ledger owns them, or while it stops to another entry, which will find
// the heir after the stop.
func (e *Entry) homeAddress(others []api.Address) string {
	if e.leaving.Load() && len(others) > 0 {
		return others[0].Address
	}
	return e.set.Entry.HTTP
}

// serveRun runs a pipeline for a caller.
func (e *Entry) serveRun(ctx *fasthttp.RequestCtx, pipeline string) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.count.requests.Inc(1)
	if !ctx.IsPost() {
		e.fail(ctx, bad("", 405, "wrong_method", "use POST"))
		return
	}
	v := e.view.Load()
	text := string(ctx.Request.Header.Peek(api.HeaderTicket))
	c, fail := e.caller(ctx, v)
	if fail != nil {
		e.fail(ctx, doubt(fail, text))
		return
	}
	// The body is the library's and is used again after the handler: keep a copy.
	body := append([]byte(nil), ctx.PostBody()...)
	r, fail := newRun(v, c, pipeline, body, time.Now())
	if fail != nil {
		e.fail(ctx, doubt(fail, text))
		return
	}
	label := string(ctx.Request.Header.Peek(api.HeaderRequestID))
	if fail := r.name(label); fail != nil {
		e.fail(ctx, fail)
		return
	}
	switch {
	case text != "" && !r.pipeline.Repeatable:
		e.serveTicket(ctx, r, text)
	case r.stream:
		e.serveStream(ctx, r)
	default:
		// The library does not tell when a caller goes away.
		r.look = func() bool { return peek.Inspect(ctx.Conn()) == peek.Closed }
		e.answer(ctx, e.admitAndRun(r))
	}
}

// newRun checks a request.
func newRun(v *view, c *fleet.Customer, pipeline string, body []byte, received time.Time) (*run, *api.Error) {
	p, ok := v.pipelines[pipeline]
	if !ok {
		return nil, bad("", 404, codeNoPipeline, "no pipeline is named %q", pipeline)
	}
	var q api.RunRequest
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		return nil, bad("", 400, "bad_json", "the body is not a run request: %v", err)
	}
	if dec.More() {
		return nil, bad("", 400, "bad_json", "the body has more than one value")
	}
	class := max(fleet.Classes[p.Priority], fleet.Classes[c.Priority])
	if q.Priority != "" {
		asked, ok := fleet.Classes[q.Priority]
		if !ok {
			return nil, bad("", 400, "bad_priority", "priority wants urgent, normal or batch, has %q", q.Priority)
		}
		class = max(class, asked)
	}
	deadline := p.DeadlineMS
	if q.DeadlineMS != 0 {
		deadline = min(deadline, q.DeadlineMS)
	}
	if deadline < minDeadlineMS {
		return nil, bad("", 400, "past_deadline", "deadline_ms has %d; the deadline has passed", q.DeadlineMS)
	}
	return &run{
		view: v, customer: c, pipeline: p, class: class, input: []byte(q.Input), stream: q.Stream, body: body,
		received: received, deadline: received.Add(time.Duration(deadline) * time.Millisecond),
		record: outcome.NewRecord(),
	}, nil
}

// name gives the run its id: the caller's label, if any, and a part of ours.
func (r *run) name(label string) *api.Error {
	if len(label) > maxLabel || strings.ContainsFunc(label, func(c rune) bool { return c <= ' ' || c > '~' || c == '.' }) {
		return bad("", 400, "bad_request_id", "%s wants at most %d visible ASCII characters without a dot", api.HeaderRequestID, maxLabel)
	}
	if label == "" {
		label = "r"
	}
	r.id = fmt.Sprintf("%s.%016x", label, rand.Uint64())
	return nil
}

// answer sends a final answer.
func (e *Entry) answer(ctx *fasthttp.RequestCtx, f *final) {
	e.tally(f.outcome())
	if f.err != nil {
		web.Fail(ctx, f.err)
		return
	}
	web.JSON(ctx, 200, f.answer)
}

// fail answers what was refused before it became a run.
func (e *Entry) fail(ctx *fasthttp.RequestCtx, err *api.Error) {
	e.tally(err.Outcome)
	web.Fail(ctx, err)
}

func (e *Entry) tally(k outcome.Kind) {
	switch k {
	case outcome.Done:
		e.count.done.Inc(1)
	case outcome.NotRun:
		e.count.notRun.Inc(1)
	case outcome.Failed:
		e.count.failed.Inc(1)
	case outcome.Unknown:
		e.count.unknown.Inc(1)
	}
}
