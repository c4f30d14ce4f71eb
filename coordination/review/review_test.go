package review

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
)

// validConfiguration returns a configuration without findings.
func validConfiguration() *catalog.Configuration {
	return &catalog.Configuration{
		Version: 1,
		Services: map[string]*catalog.Service{
			"llm": {Name: "llm", Engine: &catalog.Engine{Slots: 8}}, "read": {Name: "read", Pool: &catalog.Pool{MaxBatch: 4, ResultMemory: 1000}}, "desk": {Name: "desk"},
		},
		Routes: []catalog.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: catalog.Stream, Timeout: time.Minute, Objective: time.Second, GapObjective: time.Second,
				MaxAttempts: 2, Resumable: true, Targets: []catalog.Target{{Service: "llm", Weight: 1}}, Stages: []catalog.Stage{{Service: "read", ResultBytes: 100}}},
			{Name: "desk", Host: "h", Prefix: "/desk/", Kind: catalog.AtMostOnce, MaxAttempts: 1, Targets: []catalog.Target{{Service: "desk", Weight: 1}}},
		},
	}
}

// Each rule finds the fault injected for it, with its place, and no other rule does.
func TestEachRuleFindsItsFault(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(validConfiguration())), 0)
	faults := map[string]func(*catalog.Configuration){
		"service-unknown": func(c *catalog.Configuration) {
			c.Routes[1].Targets = append(c.Routes[1].Targets, catalog.Target{Service: "none", Weight: 1})
		},
		"service-unused": func(c *catalog.Configuration) { c.Services["spare"] = &catalog.Service{Name: "spare"} },
		"prefix-form":    func(c *catalog.Configuration) { c.Routes[1].Prefix = "/desk" },
		"prefix-twice":   func(c *catalog.Configuration) { c.Routes[1].Prefix = "/chat/" },
		"split-weight":   func(c *catalog.Configuration) { c.Routes[1].Targets[0].Weight = 0 },
		"time-order":     func(c *catalog.Configuration) { c.Routes[0].Objective = time.Hour },
		"once-attempts":  func(c *catalog.Configuration) { c.Routes[1].MaxAttempts = 3 },
		"resumable-kind": func(c *catalog.Configuration) { c.Routes[0].MaxAttempts = 1 },
		"stage-room":     func(c *catalog.Configuration) { c.Routes[0].Stages[0].ResultBytes = 2000 },
		"stream-engine": func(c *catalog.Configuration) {
			c.Routes[0].Targets[0].Service = "desk"
			c.Routes[1].Targets[0].Service = "llm"
		},
	}
	for _, r := range Rules() {
		inject := faults[r.Name]
		if inject == nil {
			t.Errorf("no fault for rule %s", r.Name)
			continue
		}
		c := validConfiguration()
		inject(c)
		found := Check(c)
		if len(found) != 1 || found[0].Rule != r.Name || found[0].Place == "" || found[0].Text == "" {
			t.Errorf("%s: found %v", r.Name, found)
		}
	}
	is.True(slices.ContainsFunc(Rules(), func(r Rule) bool { return r.Description != "" }))
}
