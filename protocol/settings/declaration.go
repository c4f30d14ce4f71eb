package settings

import (
	"fmt"

	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/pack"
	"quinceroad/state/fleet"
)

// Limits of values in a declaration.
const (
	maxSlots      = 4096
	maxDeadlineMS = 600_000
	maxStages     = 16
	minLifetime   = 1
	maxLifetime   = 3600
	maxWeight     = 1000
)

// LoadFleet decodes and checks a declaration.
func LoadFleet(file string, data []byte) (*fleet.Fleet, error) {
	var f fleet.Fleet
	d := Decode(file, data, &f)
	if err := d.Err(); err != nil {
		return nil, err
	}
	d.requireValue("name", f.Name)
	d.requireValue("region", f.Region)
	if len(f.Halls) == 0 {
		d.Add("halls", "needs at least one hall")
	}
	d.requireRange("attainment_weight", f.AttainmentWeight, 0, 1)
	d.requireRange("address_lifetime_seconds", float64(f.AddressTTLSeconds), minLifetime, maxLifetime)
	d.requireRange("shed", f.ShedSlackFactor, 0, 10)
	d.requireOneOf("policy", f.Policy, scheduler.Policies...)
	d.checkServices(&f)
	d.checkPipelines(&f)
	d.checkCustomers(&f)
	return &f, d.Err()
}

// LoadPacked decompresses, decodes and checks a declaration.
func LoadPacked(packed []byte) (*fleet.Fleet, error) {
	text, err := pack.Decompress(packed)
	if err != nil {
		return nil, err
	}
	return LoadFleet("revision", text)
}

func (d *Document) checkServices(f *fleet.Fleet) {
	names := d.newUniqueNames("service")
	for i, s := range f.Services {
		key := indexedKey("service", i)
		names.add(i, s.Name)
		d.requireOneOf(key+".kind", string(s.Kind), string(fleet.Engine), string(fleet.Pool), string(fleet.Plain))
		d.requireRange(key+".slots", float64(s.Slots), 1, maxSlots)
		d.requireRange(key+".cost", s.Cost, 0, 1e6)
		if s.Model != "" && s.Kind != fleet.Engine {
			d.Add(key+".model", "only a service of kind engine has a model")
		}
	}
}

func (d *Document) checkPipelines(f *fleet.Fleet) {
	names := d.newUniqueNames("pipeline")
	services := make([]string, len(f.Services))
	for i, s := range f.Services {
		services[i] = s.Name
	}
	for i, p := range f.Pipelines {
		key := indexedKey("pipeline", i)
		names.add(i, p.Name)
		d.requireRange(key+".deadline_ms", float64(p.DeadlineMS), 1, maxDeadlineMS)
		d.requirePriority(key+".priority", p.Priority)
		d.requireRange(key+".rate", p.Rate, 0, 1e9)
		d.requireRange(key+".stage", float64(len(p.Stages)), 1, maxStages)
		if p.Repeatable == p.HasAtMostOnceStage() {
			d.Add(key+".repeatable", "is %t, but it has a stage with once = true: %t", p.Repeatable, p.HasAtMostOnceStage())
		}
		stages := d.newUniqueNames(key + ".stage")
		for j, s := range p.Stages {
			at := indexedKey(key+".stage", j)
			stages.add(j, s.Name)
			d.requireValue(at+".operation", s.Operation)
			d.requireRange(at+".expect_ms", float64(s.ExpectedMS), 1, maxDeadlineMS)
			if _, ok := f.Service(s.Service); !ok {
				d.addUndeclared(at+".service", s.Service, services)
			}
		}
	}
}

func (d *Document) checkCustomers(f *fleet.Fleet) {
	names := d.newUniqueNames("customer")
	for i, c := range f.Customers {
		key := indexedKey("customer", i)
		names.add(i, c.Name)
		d.requireDigest(key+".key_sha256", c.KeySHA256)
		d.requireRange(key+".weight", float64(c.Weight), 1, maxWeight)
		d.requirePriority(key+".priority", c.Priority)
		d.requireRange(key+".rate", c.Rate, 0, 1e9)
		d.requireRange(key+".burst", c.Burst, 0, 1e9)
	}
}

func (d *Document) requirePriority(key, value string) {
	d.requireOneOf(key, value, "urgent", "normal", "batch")
}

func (d *Document) requireRange(key string, v, low, high float64) {
	if v < low || v > high {
		d.Add(key, "must be between %g and %g, got %g", low, high, v)
	}
}

func (d *Document) addUndeclared(key, name string, names []string) {
	if hint := closestName(name, names); hint != "" {
		d.Add(key, "%q is not declared; did you mean %q?", name, hint)
		return
	}
	d.Add(key, "%q is not declared", name)
}

// uniqueNames checks that the names of one list are present and unique.
type uniqueNames struct {
	doc  *Document
	list string
	seen map[string]int
}

func (d *Document) newUniqueNames(list string) *uniqueNames {
	return &uniqueNames{doc: d, list: list, seen: make(map[string]int)}
}

func (u *uniqueNames) add(i int, name string) {
	key := indexedKey(u.list, i) + ".name"
	if name == "" {
		u.doc.Add(key, "is missing")
		return
	}
	if first, ok := u.seen[name]; ok {
		u.doc.Add(key, "%q is already declared at line %d", name, u.doc.lineOf(indexedKey(u.list, first)+".name"))
		return
	}
	u.seen[name] = i
}

func indexedKey(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
