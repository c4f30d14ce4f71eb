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

// States of a plan and of its confirmation.
const (
	statePlanned      = "planned"
	stateUnchanged    = "unchanged"
	stateConfirmed    = "confirmed"
	stateConflict     = "conflict"
	stateUndetermined = "undetermined"
)

const (
	planPrefix         = "plans/"
	planTTL            = time.Hour // an unconfirmed plan expires
	maxConfirmAttempts = 4
	confirmRetryDelay  = 150 * time.Millisecond
)

var errPlanNotFound = errors.New("no such plan")

// plans creates and confirms plans. A plan is stored on the platform, so any coord
// can confirm it; a confirmation is one compare-and-swap.
type plans struct{ coord *Coord }

func newPlans(c *Coord) *plans { return &plans{coord: c} }

// create makes and stores the plan for a declaration; findings are returned as an error.
func (p *plans) create(text, by string) (*api.Plan, error) {
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
	fillPlan(out, planner.Compute(next, old, all))
	if old != nil && reflect.DeepEqual(next, old) {
		out.State = stateUnchanged
		return out, nil
	}
	b, err := encodePlan(*out)
	if err != nil {
		return nil, err
	}
	p.coord.counters.platformWrites.Inc(1)
	put := api.KVPut{Value: b, LeaseMS: planTTL.Milliseconds()}
	if _, err := p.coord.platform.Put(planPrefix+out.ID, put); err != nil {
		// Even if the write took effect, nobody can confirm the plan: its id is
		// new, and this operator gets an error instead of it.
		return nil, err
	}
	event.PlanMade.Log(p.coord.log, "plan", out.ID, "by", by, "base", out.Base)
	return out, nil
}

// encodePlan returns a plan in its stored form.
func encodePlan(plan api.Plan) ([]byte, error) {
	packed, err := pack.Compress(plan.Text)
	if err != nil {
		return nil, err
	}
	plan.Text = ""
	return json.Marshal(api.StoredPlan{Plan: plan, Declaration: packed})
}

func fillPlan(out *api.Plan, p planner.Plan) {
	out.Changes, out.Warnings = p.Changes, p.Warnings
	for _, s := range p.Steps {
		out.Stages = append(out.Stages, api.PlannedStage{
			Pipeline: s.Pipeline, Stage: s.Stage, Service: s.Service, Halls: s.Halls, Slots: s.Slots,
			CapacityPerSecond: s.StagesPerSecond, BudgetMS: int(s.Budget.Milliseconds()), CostPerRequest: s.CostPerRequest,
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
	p.coord.counters.platformReads.Inc(1)
	kv, err := p.coord.platform.Get(planPrefix + id)
	if err != nil {
		return nil, err
	}
	if kv.Version == 0 {
		return nil, errPlanNotFound
	}
	var stored api.StoredPlan
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		return nil, err
	}
	text, err := pack.Decompress(stored.Declaration)
	stored.Text = string(text)
	return &stored.Plan, err
}

// confirm puts a plan into force if its base revision still is in force. If the
// answer to the write is lost, the outcome is read back by the plan's id; if that
// fails too, the state is undetermined.
func (p *plans) confirm(id, by string) (*api.Confirmation, error) {
	plan, err := p.load(id)
	if err != nil {
		return nil, err
	}
	for attempt := range maxConfirmAttempts {
		if attempt > 0 {
			time.Sleep(jitter(confirmRetryDelay))
		}
		confirmed, err := p.tryConfirm(plan, by)
		if err == nil {
			event.PlanConfirmed.Log(p.coord.log, "plan", id, "by", by, "revision", confirmed.Revision, "state", confirmed.State)
			return confirmed, nil
		}
		if attempt == 0 && !errors.Is(err, errUndetermined) {
			return nil, err // the platform could not be read
		}
	}
	return &api.Confirmation{Plan: id, State: stateUndetermined}, nil
}

// tryConfirm reads the configuration in force and writes the plan if its base
// matches. A retry is safe: the write is conditional on the version that was read.
func (p *plans) tryConfirm(plan *api.Plan, by string) (*api.Confirmation, error) {
	p.coord.counters.platformReads.Inc(1)
	kv, err := p.coord.platform.Get(configKey)
	if err != nil {
		return nil, err
	}
	stored, err := decodeStored(kv)
	if err != nil {
		return nil, err
	}
	for _, past := range stored.History {
		if past.PlanID == plan.ID {
			p.coord.offerStored(kv.Value, "platform")
			return &api.Confirmation{Plan: plan.ID, Revision: past.Revision, State: stateConfirmed}, nil
		}
	}
	inForce, _ := p.coord.config()
	if stored.Revision < inForce.Revision { // the store lost data: continue from the configuration in force
		stored = api.StoredConfig{Revision: inForce.Revision, PlanID: inForce.PlanID, Declaration: inForce.Declaration}
	}
	if stored.Revision != plan.Base {
		return &api.Confirmation{Plan: plan.ID, Revision: stored.Revision, State: stateConflict}, nil
	}
	next, err := nextStored(stored, plan, by)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	p.coord.counters.platformWrites.Inc(1)
	_, err = p.coord.platform.Put(configKey, api.KVPut{Value: b, IfVersion: kv.Version})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return nil, errors.Join(errUndetermined, err)
	}
	if err != nil { // another operator's write or this plan's earlier one: read again
		return nil, errUndetermined
	}
	p.coord.offer(revision.Config{Revision: next.Revision, PlanID: plan.ID, Declaration: next.Declaration}, "confirm")
	return &api.Confirmation{Plan: plan.ID, Revision: next.Revision, State: stateConfirmed}, nil
}

// nextStored returns the stored configuration that puts the plan into force.
func nextStored(prev api.StoredConfig, plan *api.Plan, by string) (api.StoredConfig, error) {
	packed, err := pack.Compress(plan.Text)
	next := api.StoredConfig{Revision: prev.Revision + 1, PlanID: plan.ID, By: by, Declaration: packed}
	next.History = append([]api.PastRevision{{Revision: next.Revision, PlanID: plan.ID, By: by}}, prev.History...)
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
