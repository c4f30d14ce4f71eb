package listing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/benbjohnson/immutable"

	"quinceroad/coordination/cells"
	"quinceroad/state/catalog"
)

// Kind tells how the replicas of a service are divided among cells.
type Kind int

const (
	// Plain services have no cells.
	Plain Kind = iota
	// Engines are divided among the cells.
	Engines
	// Pools are divided among the cells, and determine how many there are.
	Pools
)

// Index builds the versions of the list. It is not safe for concurrent use; the versions
// are.
type Index struct {
	kindOf      func(service string) Kind
	perCell     int  // replicas of a pool in a cell
	divides     bool // the replicas are assigned to cells
	list        *List
	cellCounts  map[string]int // by region
	assignments map[place]*cells.Assignment
}

// place is a service in a region.
type place struct{ service, region string }

// New returns an index of no replicas. perCell is the number of replicas of one pool that
// a cell may have. Unless divides is set, the replicas are not assigned to cells, which is
// most of the work, and only the cells' number is known.
func New(kindOf func(service string) Kind, perCell int, divides bool) *Index {
	return &Index{kindOf: kindOf, perCell: perCell, divides: divides, list: Empty(), cellCounts: make(map[string]int), assignments: make(map[place]*cells.Assignment)}
}

// hasCells reports whether the replicas of a service are assigned to cells.
func (x *Index) hasCells(service string) bool { return x.divides && x.kindOf(service) != Plain }

// List returns the newest version.
func (x *Index) List() *List { return x.list }

// Change is a replica that was added or changed, or an incarnation that was removed.
type Change struct {
	Incarnation string
	Replica     *catalog.Replica // nil: removed
}

// Apply applies changes and returns the new version. The work grows with the changes, the
// size of the cells and, if the number of cells changes, with the list.
func (x *Index) Apply(changes []Change) *List {
	d := &draft{index: x, base: x.list, staged: make(map[string]*Entry), regions: make(map[place]*regionDraft), joined: make(map[place][]string), left: make(map[place][]string)}
	for _, c := range changes {
		d.stage(c)
	}
	d.resize()
	d.assign()
	d.settle()
	x.list = d.list()
	return x.list
}

// draft is a version that is being built.
type draft struct {
	index   *Index
	base    *List
	staged  map[string]*Entry // changed entries by incarnation; nil: removed
	regions map[place]*regionDraft
	joined  map[place][]string // incarnations that need a cell
	left    map[place][]string // incarnations that need none any more
}

// regionDraft is a copy of the replicas of a service in a region. Its groups are copied on
// their first change.
type regionDraft struct {
	regionReplicas
	copied map[int]bool
}

// entry returns an incarnation as of the draft, or nil.
func (d *draft) entry(incarnation string) *Entry {
	if e, ok := d.staged[incarnation]; ok {
		return e
	}
	e, _ := d.base.entries.Get(incarnation)
	return e
}

// region returns the draft of a service's replicas in a region.
func (d *draft) region(p place) *regionDraft {
	r := d.regions[p]
	if r != nil {
		return r
	}
	r = &regionDraft{copied: make(map[int]bool)}
	if s := d.base.services[p.service]; s != nil && s.regions[p.region] != nil {
		r.regionReplicas = *s.regions[p.region]
		r.groups = slices.Clone(r.groups)
	}
	d.regions[p] = r
	return r
}

func placeOf(r *catalog.Replica) place { return place{r.Service, r.Region} }

// stage applies one change to the entries, the counts, and the group of a replica that is
// in one.
func (d *draft) stage(c Change) {
	old := d.entry(c.Incarnation)
	if old != nil && (c.Replica == nil || placeOf(&old.Replica) != placeOf(c.Replica)) {
		d.remove(old)
		old = nil
	}
	if c.Replica == nil {
		return
	}
	e := &Entry{Replica: *c.Replica, LocalCell: NoCell}
	if old != nil {
		e.LocalCell = old.LocalCell
	}
	p := placeOf(&e.Replica)
	r := d.region(p)
	if old != nil {
		r.count(old, -1)
	}
	r.count(e, 1)
	d.staged[c.Incarnation] = e
	switch {
	case !d.index.hasCells(p.service):
		r.put(0, e)
	case e.LocalCell == NoCell:
		d.joined[p] = append(d.joined[p], c.Incarnation)
	default:
		r.put(e.LocalCell, e)
	}
}

func (d *draft) remove(old *Entry) {
	p := placeOf(&old.Replica)
	r := d.region(p)
	r.count(old, -1)
	d.staged[old.ID] = nil
	r.drop(max(old.LocalCell, 0), old.ID)
	if d.index.hasCells(p.service) {
		d.left[p] = append(d.left[p], old.ID)
	}
}

// resize changes the number of cells of the regions in which it depends on the changed
// pools, and assigns their replicas anew.
func (d *draft) resize() {
	checked := make(map[string]bool)
	for p := range d.regions {
		if !checked[p.region] && d.index.kindOf(p.service) == Pools {
			checked[p.region] = true
			d.resizeRegion(p.region)
		}
	}
}

func (d *draft) resizeRegion(region string) {
	count := max((d.largestPool(region)+d.index.perCell-1)/d.index.perCell, 1)
	if d.index.cellCounts[region] == count {
		return
	}
	d.index.cellCounts[region] = count
	for p, old := range d.index.assignments {
		if p.region == region {
			d.index.assignments[p] = old.Resized(count)
		}
	}
}

// largestPool returns the number of replicas, without the draining ones, of the largest
// pool of a region.
func (d *draft) largestPool(region string) int {
	largest := 0
	for p, r := range d.regions {
		if p.region == region && d.index.kindOf(p.service) == Pools {
			largest = max(largest, r.present)
		}
	}
	for name, s := range d.base.services {
		r := s.regions[region]
		if r != nil && d.regions[place{name, region}] == nil && d.index.kindOf(name) == Pools {
			largest = max(largest, r.present)
		}
	}
	return largest
}

// assign assigns the replicas that joined to cells, and takes out those that left.
func (d *draft) assign() {
	for p, joined := range d.joined {
		a := d.index.assignments[p]
		if a == nil {
			d.index.assignments[p] = cells.NewAssignment(joined, max(d.index.cellCounts[p.region], 1))
			continue
		}
		for _, incarnation := range joined {
			a.Add(incarnation)
		}
	}
	for p, left := range d.left {
		a := d.index.assignments[p]
		for _, incarnation := range left {
			if e := d.staged[incarnation]; e == nil || placeOf(&e.Replica) != p {
				a.Remove(incarnation)
			}
		}
	}
}

// settle moves the replicas whose cells have changed between the groups.
func (d *draft) settle() {
	for p := range d.index.assignments {
		moved := d.index.assignments[p].TakeMoved()
		if len(moved) > 0 {
			d.move(p, moved)
		}
	}
}

func (d *draft) move(p place, moved map[string]bool) {
	r, a := d.region(p), d.index.assignments[p]
	for incarnation := range moved {
		old := d.entry(incarnation)
		cell, ok := a.Cell(incarnation)
		if old == nil || !ok || old.LocalCell == cell {
			continue
		}
		if old.LocalCell != NoCell {
			r.drop(old.LocalCell, incarnation)
		}
		e := &Entry{Replica: old.Replica, LocalCell: cell}
		d.staged[incarnation] = e
		r.put(cell, e)
	}
}

// list returns the finished version.
func (d *draft) list() *List {
	l := &List{services: maps.Clone(d.base.services), cellCounts: maps.Clone(d.index.cellCounts)}
	d.setEntries(l)
	copied := make(map[string]bool)
	for p, r := range d.regions {
		if !copied[p.service] {
			copied[p.service] = true
			l.services[p.service] = d.copyService(p.service)
		}
		l.services[p.service].regions[p.region] = &r.regionReplicas
	}
	return l
}

func (d *draft) copyService(name string) *service {
	s := &service{kind: d.index.kindOf(name), hasCells: d.index.hasCells(name), regions: make(map[string]*regionReplicas)}
	if old := d.base.services[name]; old != nil {
		maps.Copy(s.regions, old.regions)
	}
	return s
}

// setEntries fills the entries of a new version and what is looked up by.
func (d *draft) setEntries(l *List) {
	if d.base.Len() == 0 {
		d.buildEntries(l)
		return
	}
	l.entries, l.byName = d.base.entries, d.base.byName
	for incarnation, e := range d.staged {
		old, listed := l.entries.Get(incarnation)
		if listed {
			l.removeName(old)
		}
		switch {
		case e != nil:
			l.entries = l.entries.Set(incarnation, e)
		case listed:
			l.entries = l.entries.Delete(incarnation)
		}
	}
	for _, e := range d.staged {
		if e != nil && e.StartMillis != 0 {
			l.byName = l.byName.Set(e.Name, e.ID)
		}
	}
}

func (l *List) removeName(e *Entry) {
	if listed, ok := l.byName.Get(e.Name); ok && listed == e.ID {
		l.byName = l.byName.Delete(e.Name)
	}
}

// buildEntries fills the entries of a new version with the staged ones alone.
func (d *draft) buildEntries(l *List) {
	entries, byName := immutable.NewMapBuilder[string, *Entry](nil), immutable.NewMapBuilder[string, string](nil)
	for incarnation, e := range d.staged {
		if e == nil {
			continue
		}
		entries.Set(incarnation, e)
		if e.StartMillis != 0 {
			byName.Set(e.Name, incarnation)
		}
	}
	l.entries, l.byName = entries.Map(), byName.Map()
}

// count adds n times an entry to the counts.
func (r *regionDraft) count(e *Entry, n int) {
	r.listed += n
	if !e.Draining {
		r.present += n
	}
	if e.AcceptsWork() {
		r.eligible += n
	}
}

// group returns a group that may be changed.
func (r *regionDraft) group(cell int) *[]*Entry {
	for len(r.groups) <= cell {
		r.groups = append(r.groups, nil)
	}
	if !r.copied[cell] {
		r.copied[cell] = true
		r.groups[cell] = slices.Clone(r.groups[cell])
	}
	return &r.groups[cell]
}

// put adds an entry to a group, or replaces the one of the same incarnation.
func (r *regionDraft) put(cell int, e *Entry) {
	group := r.group(cell)
	at, found := find(*group, e.ID)
	if found {
		(*group)[at] = e
		return
	}
	*group = slices.Insert(*group, at, e)
}

// drop removes an incarnation from a group.
func (r *regionDraft) drop(cell int, incarnation string) {
	group := r.group(cell)
	if at, found := find(*group, incarnation); found {
		*group = slices.Delete(*group, at, at+1)
	}
}

func find(group []*Entry, incarnation string) (at int, found bool) {
	return slices.BinarySearchFunc(group, incarnation, func(e *Entry, id string) int { return cmp.Compare(e.ID, id) })
}

func compareReplicas(a, b catalog.Replica) int { return cmp.Compare(a.ID, b.ID) }
