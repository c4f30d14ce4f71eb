package coord

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"reflect"
	"time"

	"quinceroad/coordination/planner"
	"quinceroad/coordination/revision"
	"quinceroad/protocol/api"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pack"
	"quinceroad/protocol/settings"
	"quinceroad/transport/platform"
)

// The states of a plan and of its confirmation.
const (
	statePlanned      = "planned"
	stateUnchanged    = "unchanged"
	stateConfirmed    = "confirmed"
	stateConflict     = "conflict"
	stateUndetermined = "undetermined"
)

const (
	planPrefix   = "plans/"
	planLife     = time.Hour // a plan that is not confirmed by then is gone
	confirmTries = 4
	confirmGap   = 150 * time.Millisecond
)

var errNoPlan = errors.New("no such plan")

// plans makes and confirms plans. A plan lies on the platform, so that any
// coord can confirm it; confirming is one compare-and-swap.
type plans struct{ coord *Coord }

func newPlans(c *Coord) *plans { return &plans{coord: c} }

// make answers an intent; findings come back as an error.
func (p *plans) make(text, by string) (*api.Plan, error) {
	next, err := settings.LoadFleet("declaration", []byte(text))
	if err != nil {
		return nil, err
	}
	rev, old := p.coord.config()
	all := p.coord.allReplicas()
	out := &api.Plan{
		ID: rand.Text(), Base: rev.Revision, By: by, State: statePlanned, Text: text,
		Inputs: api.PlanInputs{Instances: len(p.coord.members()), Replicas: len(all)},
	}
	fill(out, planner.Compute(next, old, all))
	if old != nil && reflect.DeepEqual(next, old) {
		out.State = stateUnchanged
		return out, nil
	}
	b, err := encodePlan(*out)
	if err != nil {
		return nil, err
	}
	p.coord.count.platformWrites.Inc(1)
	put := api.KVPut{Value: b, LeaseMS: planLife.Milliseconds()}
	if _, err := p.coord.platform.Put(planPrefix+out.ID, put); err != nil {
		// The id is fresh: whether the write took effect or not, nobody knows
		// of the plan but this operator, who is told to plan again.
		return nil, err
	}
	event.PlanMade.Log(p.coord.log, "plan", out.ID, "by", by, "base", out.Base)
	return out, nil
}

// encodePlan returns a plan as it lies on the platform.
func encodePlan(plan api.Plan) ([]byte, error) {
	packed, err := pack.Compress(plan.Text)
	if err != nil {
		return nil, err
	}
	plan.Text = ""
	return json.Marshal(api.StoredPlan{Plan: plan, Declaration: packed})
}

func fill(out *api.Plan, p planner.Plan) {
	out.Changes, out.Warnings = p.Changes, p.Warnings
	for _, s := range p.Steps {
		out.Stages = append(out.Stages, api.PlannedStage{
			Pipeline: s.Pipeline, Stage: s.Stage, Service: s.Service, Halls: s.Halls, Slots: s.Slots,
			CapacityPerSecond: s.PerSec, BudgetMS: int(s.Budget.Milliseconds()), Cost: s.Cost,
		})
	}
	for _, n := range p.Needs {
		out.Needs = append(out.Needs, api.CapacityNeed(n))
	}
	for _, o := range p.Outlooks {
		out.Forecasts = append(out.Forecasts, api.Forecast(o))
	}
}

func (p *plans) load(id string) (*api.Plan, error) {
	p.coord.count.platformReads.Inc(1)
	kv, err := p.coord.platform.Get(planPrefix + id)
	if err != nil {
		return nil, err
	}
	if kv.Version == 0 {
		return nil, errNoPlan
	}
	var stored api.StoredPlan
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		return nil, err
	}
	text, err := pack.Decompress(stored.Declaration)
	stored.Text = string(text)
	return &stored.Plan, err
}

// confirm puts a plan into force if its base still is. A lost answer is read
// back by the plan's id, and until it is known the operator is told so.
func (p *plans) confirm(id, by string) (*api.Confirmation, error) {
	plan, err := p.load(id)
	if err != nil {
		return nil, err
	}
	for try := range confirmTries {
		if try > 0 {
			time.Sleep(jitter(confirmGap))
		}
		done, err := p.tryConfirm(plan, by)
		if err == nil {
			event.PlanConfirmed.Log(p.coord.log, "plan", id, "by", by, "revision", done.Revision, "state", done.State)
			return done, nil
		}
		if try == 0 && !errors.Is(err, errUndetermined) {
			return nil, err // the platform could not even be read
		}
	}
	return &api.Confirmation{Plan: id, State: stateUndetermined}, nil
}

// tryConfirm reads what is in force, and writes the plan if it is its turn.
// Trying again is safe: the version it read guards the write.
func (p *plans) tryConfirm(plan *api.Plan, by string) (*api.Confirmation, error) {
	p.coord.count.platformReads.Inc(1)
	kv, err := p.coord.platform.Get(configKey)
	if err != nil {
		return nil, err
	}
	at, err := decodeStored(kv)
	if err != nil {
		return nil, err
	}
	for _, past := range at.History {
		if past.PlanID == plan.ID {
			p.coord.offerStored(kv.Value, "platform")
			return &api.Confirmation{Plan: plan.ID, Revision: past.Revision, State: stateConfirmed}, nil
		}
	}
	inForce, _ := p.coord.config()
	if at.Revision < inForce.Revision { // the store lost data: go on from what is in force
		at = api.StoredConfig{Revision: inForce.Revision, PlanID: inForce.PlanID, Declaration: inForce.Declaration}
	}
	if at.Revision != plan.Base {
		return &api.Confirmation{Plan: plan.ID, Revision: at.Revision, State: stateConflict}, nil
	}
	next, err := follow(at, plan, by)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	p.coord.count.platformWrites.Inc(1)
	_, err = p.coord.platform.Put(configKey, api.KVPut{Value: b, IfVersion: kv.Version})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return nil, errors.Join(errUndetermined, err)
	}
	if err != nil { // another operator's or our own earlier write: read again
		return nil, errUndetermined
	}
	p.coord.offer(revision.Config{Revision: next.Revision, PlanID: plan.ID, Declaration: next.Declaration}, "confirm")
	return &api.Confirmation{Plan: plan.ID, Revision: next.Revision, State: stateConfirmed}, nil
}

// follow returns what is stored once the plan is in force.
func follow(at api.StoredConfig, plan *api.Plan, by string) (api.StoredConfig, error) {
	packed, err := pack.Compress(plan.Text)
	next := api.StoredConfig{Revision: at.Revision + 1, PlanID: plan.ID, By: by, Declaration: packed}
	next.History = append([]api.PastRevision{{Revision: next.Revision, PlanID: plan.ID, By: by}}, at.History...)
	if len(next.History) > api.MaxHistory {
		next.History = next.History[:api.MaxHistory]
	}
	return next, err
}

func decodeStored(kv api.KV) (api.StoredConfig, error) {
	var s api.StoredConfig
	if kv.Version == 0 {
		return s, nil
	}
	return s, json.Unmarshal(kv.Value, &s)
}
