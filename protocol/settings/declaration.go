package settings

import (
	"fmt"

	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/pack"
	"quinceroad/state/fleet"
)

// The ranges of a declaration's values.
const (
	maxSlots      = 4096
	maxDeadlineMS = 600_000
	maxStages     = 16
	minLifetime   = 1
	maxLifetime   = 3600
	maxWeight     = 1000
)

// LoadFleet reads and checks a declaration.
func LoadFleet(file string, data []byte) (*fleet.Fleet, error) {
	var f fleet.Fleet
	d := Decode(file, data, &f)
	if err := d.Err(); err != nil {
		return nil, err
	}
	d.need("name", f.Name)
	d.need("region", f.Region)
	if len(f.Halls) == 0 {
		d.Add("halls", "wants at least one hall")
	}
	d.between("attainment_weight", f.AttainmentWeight, 0, 1)
	d.between("address_lifetime_seconds", float64(f.AddressTTLSeconds), minLifetime, maxLifetime)
	d.between("shed", f.ShedSlackFactor, 0, 10)
	d.oneOf("policy", f.Policy, scheduler.Policies...)
	d.services(&f)
	d.pipelines(&f)
	d.customers(&f)
	return &f, d.Err()
}

// LoadPacked reads and checks a declaration as it travels.
func LoadPacked(packed []byte) (*fleet.Fleet, error) {
	text, err := pack.Decompress(packed)
	if err != nil {
		return nil, err
	}
	return LoadFleet("revision", text)
}

func (d *Document) services(f *fleet.Fleet) {
	names := d.unique("service")
	for i, s := range f.Services {
		key := elem("service", i)
		names.add(i, s.Name)
		d.oneOf(key+".kind", string(s.Kind), string(fleet.Engine), string(fleet.Pool), string(fleet.Plain))
		d.between(key+".slots", float64(s.Slots), 1, maxSlots)
		d.between(key+".cost", s.Cost, 0, 1e6)
		if s.Model != "" && s.Kind != fleet.Engine {
			d.Add(key+".model", "only a service of kind engine has a model")
		}
	}
}

func (d *Document) pipelines(f *fleet.Fleet) {
	names := d.unique("pipeline")
	services := make([]string, len(f.Services))
	for i, s := range f.Services {
		services[i] = s.Name
	}
	for i, p := range f.Pipelines {
		key := elem("pipeline", i)
		names.add(i, p.Name)
		d.between(key+".deadline_ms", float64(p.DeadlineMS), 1, maxDeadlineMS)
		d.class(key+".priority", p.Priority)
		d.between(key+".rate", p.Rate, 0, 1e9)
		d.between(key+".stage", float64(len(p.Stages)), 1, maxStages)
		if p.Repeatable == p.HasAtMostOnceStage() {
			d.Add(key+".repeatable", "is %t, but it has a stage with once = true: %t", p.Repeatable, p.HasAtMostOnceStage())
		}
		stages := d.unique(key + ".stage")
		for j, s := range p.Stages {
			at := elem(key+".stage", j)
			stages.add(j, s.Name)
			d.need(at+".operation", s.Operation)
			d.between(at+".expect_ms", float64(s.ExpectedMS), 1, maxDeadlineMS)
			if _, ok := f.Service(s.Service); !ok {
				d.undeclared(at+".service", s.Service, services)
			}
		}
	}
}

func (d *Document) customers(f *fleet.Fleet) {
	names := d.unique("customer")
	for i, c := range f.Customers {
		key := elem("customer", i)
		names.add(i, c.Name)
		d.digest(key+".key_sha256", c.KeySHA256)
		d.between(key+".weight", float64(c.Weight), 1, maxWeight)
		d.class(key+".priority", c.Priority)
		d.between(key+".rate", c.Rate, 0, 1e9)
		d.between(key+".burst", c.Burst, 0, 1e9)
	}
}

func (d *Document) class(key, value string) {
	d.oneOf(key, value, "urgent", "normal", "batch")
}

func (d *Document) between(key string, v, low, high float64) {
	if v < low || v > high {
		d.Add(key, "wants %g to %g, has %g", low, high, v)
	}
}

func (d *Document) undeclared(key, name string, names []string) {
	if hint := nearest(name, names); hint != "" {
		d.Add(key, "%q is not declared; did you mean %q?", name, hint)
		return
	}
	d.Add(key, "%q is not declared", name)
}

// uniqueNames collects the names of one list.
type uniqueNames struct {
	doc  *Document
	list string
	seen map[string]int
}

func (d *Document) unique(list string) *uniqueNames {
	return &uniqueNames{doc: d, list: list, seen: make(map[string]int)}
}

func (u *uniqueNames) add(i int, name string) {
	key := elem(u.list, i) + ".name"
	if name == "" {
		u.doc.Add(key, "is missing")
		return
	}
	if first, ok := u.seen[name]; ok {
		u.doc.Add(key, "%q stands already at line %d", name, u.doc.line(elem(u.list, first)+".name"))
		return
	}
	u.seen[name] = i
}

func elem(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
