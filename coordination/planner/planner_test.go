package planner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/replicas"
	"quinceroad/state/fleet"
)

func fleetWith(weight, rate float64) *fleet.Fleet {
	return &fleet.Fleet{
		Name: "x", AttainmentWeight: weight,
		Services: []fleet.Service{{Name: "gen", Kind: fleet.Engine, Slots: 4, Cost: 10}},
		Pipelines: []fleet.Pipeline{{Name: "p", DeadlineMS: 400, Rate: rate, Repeatable: true,
			Stages: []fleet.Stage{{Name: "g", Service: "gen", Operation: "generate", ExpectedMS: 100}}}},
	}
}

func replicaList(n int) []replicas.Replica {
	var out []replicas.Replica
	for i := range n {
		out = append(out, replicas.Replica{ID: fmt.Sprint("gen-", i), Service: "gen", Hall: fmt.Sprint("h", i%2)})
	}
	return out
}

// The declared weight of attainment changes the planned capacity.
func TestAttainmentWeightDecidesCapacity(t *testing.T) {
	is := is.New(t)
	attain := Compute(fleetWith(1, 240), nil, replicaList(12))
	cost := Compute(fleetWith(0, 240), nil, replicaList(12))
	is.Equal(attain.Needs[0].RequiredReplicas, 10) // 24 slots of load at 60% utilization
	is.Equal(cost.Needs[0].RequiredReplicas, 7)    // at 90%
	is.Equal(attain.Needs[0].CostPerSecond, 240.0)
	is.Equal(attain.Steps[0].Halls, []string{"h0", "h1"})
}

func TestOutlookFallsWithLoad(t *testing.T) {
	is := is.New(t)
	light := Compute(fleetWith(1, 100), nil, replicaList(12)).Outlooks[0].Attainment
	heavy := Compute(fleetWith(1, 475), nil, replicaList(12)).Outlooks[0].Attainment
	over := Compute(fleetWith(1, 500), nil, replicaList(12))
	is.True(light > 0.99)
	is.True(heavy < light && heavy > 0)
	is.Equal(over.Outlooks[0].Attainment, 0.0)
	is.True(len(over.Warnings) > 0)
}

func TestChangesByName(t *testing.T) {
	is := is.New(t)
	old, next := fleetWith(1, 1), fleetWith(1, 2)
	next.Services = append(next.Services, fleet.Service{Name: "new", Slots: 1})
	is.Equal(Compute(next, old, nil).Changes, []string{"+ service new", "~ pipeline p"})
	is.Equal(len(Compute(old, old, nil).Changes), 0)
	is.Equal(Compute(old, next, nil).Changes, []string{"- service new", "~ pipeline p"})
}
