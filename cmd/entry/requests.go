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
	maxAddresses  = 3  // entries named in an address response
	maxLabelBytes = 64 // request id chosen by the client
	minDeadlineMS = 1
)

// Error codes of refusals that depend on the current configuration.
const (
	codeUnknownPipeline = "unknown_pipeline"
	codeUnknownCustomer = "unknown_customer"
	codeNotReady        = "not_ready"
)

// handler routes the requests of clients.
func (e *Entry) handler(ctx *fasthttp.RequestCtx) {
	if e.draining.Load() {
		ctx.SetConnectionClose() // an idle connection would break when the process ends
	}
	path := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	switch {
	case len(path) == 2 && path[1] == "addresses":
		e.serveAddresses(ctx)
	case len(path) == 4 && path[1] == "pipelines" && path[3] == "runs":
		e.serveRun(ctx, path[2])
	default:
		web.Fail(ctx, badRequest("", 404, "no_such_call", "have GET /v1/addresses and POST /v1/pipelines/NAME/runs"))
	}
}

// badRequest returns the error for a request that was rejected without being run.
func badRequest(id string, status int, code, format string, args ...any) *api.Error {
	return &api.Error{ID: id, Status: status, Code: code, Detail: fmt.Sprintf(format, args...), Outcome: outcome.NotRun}
}

// unknownIfNumbered changes the outcome of a refusal to unknown if the request has a
// ticket and the refusal depends on the current configuration: the number may have run
// under an earlier configuration, which only the ledger of its home records.
func unknownIfNumbered(err *api.Error, ticket string) *api.Error {
	dependsOnConfig := err.Code == codeUnknownPipeline || err.Code == codeUnknownCustomer || err.Code == codeNotReady
	if ticket != "" && dependsOnConfig {
		err.Outcome = outcome.Unknown
	}
	return err
}

// authenticate returns the customer whose key the request carries.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx, v *view) (*fleet.Customer, *api.Error) {
	if v == nil || v.fleet == nil {
		return nil, &api.Error{Status: 503, Code: codeNotReady, Detail: "this instance has no configuration yet", Outcome: outcome.NotRun, RetryAfterMS: 1000}
	}
	key := web.Bearer(ctx)
	if key == "" {
		return nil, badRequest("", 401, "missing_key", "send the customer's key as Authorization: Bearer KEY")
	}
	// The map is keyed by digests, so timing differences of the lookup do not help
	// to guess a key.
	c, ok := v.customers[web.KeyDigest(key)]
	if !ok {
		event.Unauthorized.Log(e.log, "code", codeUnknownCustomer, "path", string(ctx.Path()))
		return nil, badRequest("", 401, codeUnknownCustomer, "no customer has this key")
	}
	return c, nil
}

// serveAddresses responds with the entries that a client should use, how long the list
// is valid, and a ticket under which to number requests that must not run twice.
func (e *Entry) serveAddresses(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		web.Fail(ctx, badRequest("", 405, "wrong_method", "use GET"))
		return
	}
	v := e.view.Load()
	c, fail := e.authenticate(ctx, v)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	out := api.AddressAnswer{LifetimeMS: e.jitteredAddressTTL(v).Milliseconds()}
	out.Addresses = e.chooseAddresses(v, string(ctx.Request.Header.Peek(api.HeaderHall)))
	out.Home = e.homeAddress(out.Addresses)
	out.Ticket = e.keys.Mint(ticket.Prefix{
		Home: e.settings.Name, Incarnation: e.incarnation, Nonce: rand.Uint64(), Issued: e.now(), Customer: c.Name,
	})
	web.JSON(ctx, 200, out)
}

// jitteredAddressTTL reduces the configured address TTL by a random part, so that clients
// do not all refresh at once. The configured TTL stays the maximum, for which Stop waits.
func (e *Entry) jitteredAddressTTL(v *view) time.Duration {
	ttl := v.addressTTL()
	return ttl - time.Duration(rand.Int64N(int64(ttl/4)+1))
}

// chooseAddresses selects entries for a client, preferably of the given hall.
func (e *Entry) chooseAddresses(v *view, hall string) []api.Address {
	var out []api.Address
	for _, a := range addresses.Choose(v.members, hall, fmt.Sprint(rand.Uint64()), maxAddresses) {
		if e.draining.Load() && a.Instance == e.settings.Name {
			continue
		}
		out = append(out, api.Address{Instance: a.Instance, Address: a.Address, Hall: a.Hall})
	}
	return out
}

// homeAddress returns the address to which the numbers of a new ticket should be sent:
// this entry, since its ledger owns them. While this entry is draining it is another
// entry, which forwards to the successor after the stop.
func (e *Entry) homeAddress(others []api.Address) string {
	if e.draining.Load() && len(others) > 0 {
		return others[0].Address
	}
	return e.settings.Entry.HTTP
}

// serveRun handles a request to run a pipeline.
func (e *Entry) serveRun(ctx *fasthttp.RequestCtx, pipeline string) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.counters.requests.Inc(1)
	if !ctx.IsPost() {
		e.rejectRequest(ctx, badRequest("", 405, "wrong_method", "use POST"))
		return
	}
	v := e.view.Load()
	ticketText := string(ctx.Request.Header.Peek(api.HeaderTicket))
	c, fail := e.authenticate(ctx, v)
	if fail != nil {
		e.rejectRequest(ctx, unknownIfNumbered(fail, ticketText))
		return
	}
	// fasthttp reuses the body's buffer after the handler returns, so copy it.
	body := append([]byte(nil), ctx.PostBody()...)
	r, fail := newRun(v, c, pipeline, body, time.Now())
	if fail != nil {
		e.rejectRequest(ctx, unknownIfNumbered(fail, ticketText))
		return
	}
	label := string(ctx.Request.Header.Peek(api.HeaderRequestID))
	if fail := r.assignID(label); fail != nil {
		e.rejectRequest(ctx, fail)
		return
	}
	switch {
	case ticketText != "" && !r.pipeline.Repeatable:
		e.serveTicket(ctx, r, ticketText)
	case r.stream:
		e.serveStream(ctx, r)
	default:
		// fasthttp does not report when a client disconnects.
		r.probeConnection = func() bool { return peek.Inspect(ctx.Conn()) == peek.Closed }
		e.writeResult(ctx, e.admitAndRun(r))
	}
}

// newRun parses and validates a run request.
func newRun(v *view, c *fleet.Customer, pipeline string, body []byte, received time.Time) (*run, *api.Error) {
	p, ok := v.pipelines[pipeline]
	if !ok {
		return nil, badRequest("", 404, codeUnknownPipeline, "no pipeline is named %q", pipeline)
	}
	var q api.RunRequest
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		return nil, badRequest("", 400, "bad_json", "the body is not a run request: %v", err)
	}
	if dec.More() {
		return nil, badRequest("", 400, "bad_json", "the body has more than one value")
	}
	class := max(fleet.Classes[p.Priority], fleet.Classes[c.Priority])
	if q.Priority != "" {
		asked, ok := fleet.Classes[q.Priority]
		if !ok {
			return nil, badRequest("", 400, "bad_priority", "priority wants urgent, normal or batch, has %q", q.Priority)
		}
		class = max(class, asked)
	}
	deadline := p.DeadlineMS
	if q.DeadlineMS != 0 {
		deadline = min(deadline, q.DeadlineMS)
	}
	if deadline < minDeadlineMS {
		return nil, badRequest("", 400, "past_deadline", "deadline_ms has %d; the deadline has passed", q.DeadlineMS)
	}
	return &run{
		view: v, customer: c, pipeline: p, class: class, input: []byte(q.Input), stream: q.Stream, body: body,
		received: received, deadline: received.Add(time.Duration(deadline) * time.Millisecond),
		record: outcome.NewRecord(),
	}, nil
}

// assignID sets the run's id: the client's label, or "r" without one, and a random suffix.
func (r *run) assignID(label string) *api.Error {
	if len(label) > maxLabelBytes || strings.ContainsFunc(label, func(c rune) bool { return c <= ' ' || c > '~' || c == '.' }) {
		return badRequest("", 400, "bad_request_id", "%s wants at most %d visible ASCII characters without a dot", api.HeaderRequestID, maxLabelBytes)
	}
	if label == "" {
		label = "r"
	}
	r.id = fmt.Sprintf("%s.%016x", label, rand.Uint64())
	return nil
}

// writeResult counts the outcome of a run and sends its response.
func (e *Entry) writeResult(ctx *fasthttp.RequestCtx, f *runResult) {
	e.countOutcome(f.outcome())
	if f.err != nil {
		web.Fail(ctx, f.err)
		return
	}
	web.JSON(ctx, 200, f.answer)
}

// rejectRequest responds to a request that was refused before a run was created.
func (e *Entry) rejectRequest(ctx *fasthttp.RequestCtx, err *api.Error) {
	e.countOutcome(err.Outcome)
	web.Fail(ctx, err)
}

func (e *Entry) countOutcome(k outcome.Kind) {
	switch k {
	case outcome.Done:
		e.counters.done.Inc(1)
	case outcome.NotRun:
		e.counters.notRun.Inc(1)
	case outcome.Failed:
		e.counters.failed.Inc(1)
	case outcome.Unknown:
		e.counters.unknown.Inc(1)
	}
}
