// Package listing holds the replicas of all services in immutable versions. A version
// shares with the one before it all that has not changed, so a change of a few replicas
// costs by these and their cells, not by the length of the list.
//
// The replicas of pools and engines are divided among cells (see package cells). The
// division depends on the replicas alone, not on the order of their changes, so instances
// with the same list agree on it.
package listing

import (
	"iter"
	"maps"
	"slices"
	"sync"

	"github.com/benbjohnson/immutable"

	"quinceroad/state/catalog"
)

// NoCell is the cell of replicas that are assigned to none.
const NoCell = -1

// Entry is a listed replica. It is immutable.
type Entry struct {
	catalog.Replica
	LocalCell int // number of its cell within its region, or NoCell
}

// List is a version of the list of replicas. It is immutable.
type List struct {
	entries    *immutable.Map[string, *Entry] // by incarnation
	byName     *immutable.Map[string, string] // incarnation by name, of replicas that report their start time
	services   map[string]*service
	cellCounts map[string]int // by region; absent: one
}

// service holds the replicas of one service in one version of the list.
type service struct {
	kind     Kind
	hasCells bool // its replicas are assigned to cells
	regions  map[string]*regionReplicas

	eligibleOnce sync.Once
	eligible     []catalog.Replica

	byBuildOnce sync.Once
	byBuild     map[string][]catalog.Replica // those that accept work

	buildsOnce sync.Once
	builds     []string
}

// regionReplicas holds the replicas of a service in a region.
type regionReplicas struct {
	groups   [][]*Entry // sorted by incarnation; by local cell, or a single one without cells
	listed   int
	present  int // those that are not draining
	eligible int // those that accept work
}

// Empty returns the list of no replicas.
func Empty() *List {
	return &List{entries: immutable.NewMap[string, *Entry](nil), byName: immutable.NewMap[string, string](nil), services: make(map[string]*service), cellCounts: make(map[string]int)}
}

// Len returns the number of replicas.
func (l *List) Len() int { return l.entries.Len() }

// Has reports whether an incarnation is listed.
func (l *List) Has(incarnation string) bool {
	_, ok := l.entries.Get(incarnation)
	return ok
}

// Replica returns a replica by its incarnation, or false if it is not listed.
func (l *List) Replica(incarnation string) (catalog.Replica, bool) {
	e, ok := l.entries.Get(incarnation)
	if !ok {
		return catalog.Replica{}, false
	}
	return e.Replica, true
}

// Incarnation returns the incarnation that is listed under a name, of a replica that
// reports its start time.
func (l *List) Incarnation(name string) (string, bool) { return l.byName.Get(name) }

// HasNamed reports whether any replica reports its start time.
func (l *List) HasNamed() bool { return l.byName.Len() > 0 }

// NamedLen returns the number of replicas that report their start time.
func (l *List) NamedLen() int { return l.byName.Len() }

// All returns all replicas in no particular order. It is for what rarely happens: its cost
// is that of the whole list.
func (l *List) All() iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for it := l.entries.Iterator(); !it.Done(); {
			if _, e, _ := it.Next(); !yield(e) {
				return
			}
		}
	}
}

// OfService returns the replicas of a service in no particular order.
func (l *List) OfService(name string) iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		s := l.services[name]
		if s == nil {
			return
		}
		for _, r := range s.regions {
			for _, group := range r.groups {
				for _, e := range group {
					if !yield(e) {
						return
					}
				}
			}
		}
	}
}

// Services returns the names of the services that have replicas.
func (l *List) Services() iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range l.services {
			if !yield(name) {
				return
			}
		}
	}
}

// Eligible returns the replicas of a service that accept work. The result is shared; the
// caller must not change it. It is collected on first use after a change of the service.
func (l *List) Eligible(name string) []catalog.Replica {
	s := l.services[name]
	if s == nil {
		return nil
	}
	s.eligibleOnce.Do(func() {
		for e := range l.OfService(name) {
			if e.AcceptsWork() {
				s.eligible = append(s.eligible, e.Replica)
			}
		}
		slices.SortFunc(s.eligible, compareReplicas)
	})
	return s.eligible
}

// EligibleOfBuild returns the replicas of a service that run a software version and accept
// work. The result is shared; the caller must not change it. It is collected on first use
// after a change of the service.
func (l *List) EligibleOfBuild(name, build string) []catalog.Replica {
	s := l.services[name]
	if s == nil {
		return nil
	}
	s.byBuildOnce.Do(func() {
		s.byBuild = make(map[string][]catalog.Replica)
		for _, r := range l.Eligible(name) {
			s.byBuild[r.Version] = append(s.byBuild[r.Version], r)
		}
	})
	return s.byBuild[build]
}

// Builds returns the software versions of a service's replicas, sorted. The result is shared;
// the caller must not change it. It is collected on first use after a change of the service.
func (l *List) Builds(name string) []string {
	s := l.services[name]
	if s == nil {
		return nil
	}
	s.buildsOnce.Do(func() {
		found := make(map[string]bool)
		for e := range l.OfService(name) {
			found[e.Version] = true
		}
		s.builds = slices.Sorted(maps.Keys(found))
	})
	return s.builds
}

// Count returns how many replicas of a service are listed, are not draining, and accept
// work.
func (l *List) Count(name string) (listed, present, eligible int) {
	s := l.services[name]
	if s == nil {
		return 0, 0, 0
	}
	for _, r := range s.regions {
		listed, present, eligible = listed+r.listed, present+r.present, eligible+r.eligible
	}
	return listed, present, eligible
}

// EligibleIn returns how many replicas of a service in a region accept work.
func (l *List) EligibleIn(region, name string) int {
	if s := l.services[name]; s != nil && s.regions[region] != nil {
		return s.regions[region].eligible
	}
	return 0
}

// CellCount returns the number of cells of a region, at least 1.
func (l *List) CellCount(region string) int { return max(l.cellCounts[region], 1) }

// CellOf returns the cell of a replica within its region, or false if it has none.
func (l *List) CellOf(incarnation string) (region string, local int, ok bool) {
	e, ok := l.entries.Get(incarnation)
	if !ok || e.LocalCell == NoCell {
		return "", 0, false
	}
	return e.Region, e.LocalCell, true
}

// Cell holds the replicas of pools and engines in a cell, by service. It shares its lists
// with the version that returned it.
type Cell struct{ groups map[string][]*Entry }

// Cell returns a cell of a region.
func (l *List) Cell(region string, local int) Cell {
	c := Cell{groups: make(map[string][]*Entry)}
	for name, s := range l.services {
		r := s.regions[region]
		if s.hasCells && r != nil && local < len(r.groups) && len(r.groups[local]) > 0 {
			c.groups[name] = r.groups[local]
		}
	}
	return c
}

// HasPooled reports whether a region has replicas of pools or engines.
func (l *List) HasPooled(region string) bool {
	for _, s := range l.services {
		if r := s.regions[region]; s.kind != Plain && r != nil && r.listed > 0 {
			return true
		}
	}
	return false
}

// Equal reports whether two versions of a cell share all lists, so that nothing in the cell
// has changed between them.
func (c Cell) Equal(o Cell) bool {
	if len(c.groups) != len(o.groups) {
		return false
	}
	for name, group := range c.groups {
		other := o.groups[name]
		if len(group) != len(other) || &group[0] != &other[0] {
			return false
		}
	}
	return true
}

// Replicas returns the replicas of the cell, by service and incarnation.
func (c Cell) Replicas() []catalog.Replica {
	var out []catalog.Replica
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		for _, e := range c.groups[name] {
			out = append(out, e.Replica)
		}
	}
	return out
}
