package coord

import (
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pack"
	"quinceroad/protocol/settings"
	"quinceroad/transport/web"
)

// handler serves the operators' API.
func (p *plans) handler(ctx *fasthttp.RequestCtx) {
	by, ok := p.authenticate(ctx)
	if !ok {
		event.OperatorRefused.Log(p.coord.log, "path", string(ctx.Path()))
		fail(ctx, 401, "bad_token", "no operator has this token; send Authorization: Bearer TOKEN")
		return
	}
	path := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	method := string(ctx.Method())
	switch {
	case len(path) == 2 && path[1] == "plans" && method == "POST":
		p.servePlan(ctx, by)
	case len(path) == 3 && path[1] == "plans" && method == "GET":
		p.serveGetPlan(ctx, path[2])
	case len(path) == 4 && path[1] == "plans" && path[3] == "confirm" && method == "POST":
		p.serveConfirm(ctx, path[2], by)
	case len(path) == 2 && path[1] == "status" && method == "GET":
		web.JSON(ctx, 200, p.coord.status())
	case len(path) == 4 && path[1] == "instances" && path[3] == "drain" && method == "POST":
		p.serveDrain(ctx, path[2])
	case len(path) == 2 && path[1] == "config" && method == "GET":
		p.serveConfig(ctx)
	case len(path) == 2 && path[1] == "state" && method == "GET":
		web.JSON(ctx, 200, p.coord.state())
	default:
		fail(ctx, 404, "no_such_call", "have POST /v1/plans, GET /v1/plans/ID, POST /v1/plans/ID/confirm, POST /v1/instances/NAME/drain, GET /v1/status, /v1/config, /v1/state")
	}
}

// authenticate returns the operator whose token the request carries, compared in constant time.
func (p *plans) authenticate(ctx *fasthttp.RequestCtx) (string, bool) {
	digest := web.KeyDigest(web.Bearer(ctx))
	name, found := "", false
	for _, o := range p.coord.settings.Operators {
		if web.SameDigest(o.TokenSHA256, digest) {
			name, found = o.Name, true
		}
	}
	return name, found
}

func (p *plans) servePlan(ctx *fasthttp.RequestCtx, by string) {
	plan, err := p.create(string(ctx.PostBody()), by)
	var findings settings.Findings
	switch {
	case errors.As(err, &findings):
		web.JSON(ctx, 422, findings)
	case err != nil:
		fail(ctx, 503, "platform_unreachable", "the plan could not be kept: "+err.Error())
	default:
		web.JSON(ctx, 200, plan)
	}
}

func (p *plans) serveGetPlan(ctx *fasthttp.RequestCtx, id string) {
	plan, err := p.load(id)
	if err != nil {
		failPlan(ctx, err)
		return
	}
	web.JSON(ctx, 200, plan)
}

func (p *plans) serveConfirm(ctx *fasthttp.RequestCtx, id, by string) {
	confirmed, err := p.confirm(id, by)
	if err != nil {
		failPlan(ctx, err)
		return
	}
	status := 200
	switch confirmed.State {
	case stateConflict:
		status = 409
	case stateUndetermined:
		status = 202
	}
	web.JSON(ctx, status, confirmed)
}

func failPlan(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, errPlanNotFound) {
		fail(ctx, 404, "unknown_plan", "no plan has this id; plan again")
		return
	}
	fail(ctx, 503, "platform_unreachable", "nothing was confirmed: "+err.Error())
}

func (p *plans) serveConfig(ctx *fasthttp.RequestCtx) {
	rev, f := p.coord.config()
	if f == nil {
		fail(ctx, 404, "no_configuration", "nothing has been confirmed yet")
		return
	}
	text, err := pack.Decompress(rev.Declaration)
	if err != nil {
		fail(ctx, 500, "bad_declaration", err.Error())
		return
	}
	s := api.ActiveConfig{Revision: rev.Revision, PlanID: rev.PlanID, Declaration: string(text)}
	if kv, err := p.coord.platform.Get(configKey); err == nil {
		if stored, err := decodeStored(kv); err == nil && stored.Revision == s.Revision {
			s.History = stored.History
		}
	}
	web.JSON(ctx, 200, s)
}

func (p *plans) serveDrain(ctx *fasthttp.RequestCtx, name string) {
	if !p.coord.drainInstance(name) {
		fail(ctx, 404, "no_such_instance", "no instance of this name answers; see GET /v1/status")
		return
	}
	web.JSON(ctx, 200, api.DrainAnswer{Instance: name})
}

func fail(ctx *fasthttp.RequestCtx, status int, code, detail string) {
	web.Fail(ctx, &api.Error{Status: status, Code: code, Detail: detail, Outcome: outcome.NotRun})
}
