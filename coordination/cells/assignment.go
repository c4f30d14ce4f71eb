package cells

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"quinceroad/coordination/rendezvous"
)

// Assignment is the assignment of the replicas of one service to cells, numbered from 0. It
// depends on the set of replicas and the number of cells alone, not on the order of the
// changes: a replica that is added takes the first cell of its ranking that has free
// capacity or a member that chooses after it, and that member in turn moves on (deferred
// acceptance; Gale and Shapley, 1962). It is not safe for concurrent use.
type Assignment struct {
	cells    []cellState
	replicas map[string]*replica
	moved    map[string]bool // replicas whose cell has changed since the last call of TakeMoved
}

type cellState struct {
	name     string
	capacity int
	members  []*replica // in the order in which they choose
	refused  []*replica // those that rank the cell above their own, in the same order
}

type replica struct {
	id       string
	order    uint64   // hash that determines when it chooses
	cell     int      // noCell while it has none
	position int      // of the cell in the ranking; the cells before it have refused the replica
	ranking  []uint16 // the first cells of its ranking
}

const (
	noCell = -1
	// Number of ranked cells that are kept for a replica. Most replicas are in one of them;
	// the others' rankings are extended.
	keptRanking = 16
)

// choosesBefore compares two replicas by the order in which they choose.
func (r *replica) choosesBefore(o *replica) int {
	return cmp.Or(cmp.Compare(r.order, o.order), cmp.Compare(r.id, o.id))
}

// NewAssignment returns the assignment of replicas to a number of cells, at least 1. An ID
// that is given twice counts once.
func NewAssignment(ids []string, cells int) *Assignment {
	unique := make(map[string]bool, len(ids))
	for _, id := range ids {
		unique[id] = true
	}
	a := newEmptyAssignment(len(unique), cells)
	for id := range unique {
		r := &replica{id: id, order: rendezvous.Weight(orderKey, id), cell: noCell}
		r.ranking = a.rank(r, keptRanking)
		a.replicas[id] = r
	}
	a.chooseAll()
	return a
}

// newEmptyAssignment returns cells with the capacity for a number of replicas.
func newEmptyAssignment(replicas, cells int) *Assignment {
	cells = max(cells, 1)
	a := &Assignment{replicas: make(map[string]*replica, replicas), moved: make(map[string]bool, replicas)}
	for c := range cells {
		a.cells = append(a.cells, cellState{name: strconv.Itoa(c), capacity: capacity(replicas, cells, c)})
	}
	return a
}

// chooseAll assigns all replicas. In their order nobody is displaced, as all members of a
// cell have chosen before.
func (a *Assignment) chooseAll() {
	for _, r := range slices.SortedFunc(maps.Values(a.replicas), (*replica).choosesBefore) {
		a.choose(r, 0)
	}
}

// capacity returns the number of replicas that a cell holds; the numbers differ by at most
// one.
func capacity(replicas, cells, cell int) int {
	if cell < replicas%cells {
		return replicas/cells + 1
	}
	return replicas / cells
}

// Cells returns the number of cells.
func (a *Assignment) Cells() int { return len(a.cells) }

// Cell returns the cell of a replica, or false if it is not assigned.
func (a *Assignment) Cell(id string) (int, bool) {
	r := a.replicas[id]
	if r == nil {
		return 0, false
	}
	return r.cell, true
}

// TakeMoved returns the replicas that were added, removed or moved since the last call.
func (a *Assignment) TakeMoved() map[string]bool {
	if len(a.moved) == 0 {
		return nil
	}
	moved := a.moved
	a.moved = make(map[string]bool)
	return moved
}

// Add adds a replica. One that is assigned already counts as moved.
func (a *Assignment) Add(id string) {
	if a.replicas[id] != nil {
		a.moved[id] = true
		return
	}
	grown := len(a.replicas) % len(a.cells) // the cell whose capacity grows, see capacity
	r := &replica{id: id, order: rendezvous.Weight(orderKey, id), cell: noCell}
	r.ranking = a.rank(r, keptRanking)
	a.replicas[id] = r
	a.cells[grown].capacity++
	a.fill(grown)
	a.choose(r, 0)
}

// Remove removes a replica.
func (a *Assignment) Remove(id string) {
	r := a.replicas[id]
	if r == nil {
		return
	}
	a.withdrawRefusals(r, 0)
	delete(a.replicas, id)
	cell := r.cell
	a.leave(r)
	a.fill(cell)
	shrunk := len(a.replicas) % len(a.cells)
	a.cells[shrunk].capacity--
	if c := &a.cells[shrunk]; len(c.members) > c.capacity {
		a.displaceLast(shrunk)
	}
}

// rank returns the first n cells of a replica's ranking: by weight, the highest first,
// then by number.
func (a *Assignment) rank(r *replica, n int) []uint16 {
	first := make(ranking, 0, n+1)
	for c := range a.cells {
		first = first.add(a.ranked(r, c), n)
	}
	return first.cells()
}

// rerank returns the ranking of a replica of which the first cells are known for another
// number of cells.
func (a *Assignment) rerank(r *replica, known []uint16, previousCells int) []uint16 {
	first := make(ranking, 0, len(known)+1)
	for _, c := range known {
		if int(c) < len(a.cells) {
			first = append(first, a.ranked(r, int(c)))
		}
	}
	for c := previousCells; c < len(a.cells); c++ {
		first = first.add(a.ranked(r, c), max(len(known), 1))
	}
	if len(first) == 0 {
		return a.rank(r, keptRanking)
	}
	return first.cells()
}

func (a *Assignment) ranked(r *replica, cell int) rankedCell {
	return rankedCell{uint16(cell), rendezvous.Weight(r.id, a.cells[cell].name)}
}

type rankedCell struct {
	cell   uint16
	weight uint64
}

// ranking is the beginning of the ranking of a replica.
type ranking []rankedCell

// add adds a cell with a higher number than all before if it is among the first n.
func (l ranking) add(x rankedCell, n int) ranking {
	at := len(l)
	for at > 0 && l[at-1].weight < x.weight {
		at--
	}
	if at >= n {
		return l
	}
	l = slices.Insert(l, at, x)
	return l[:min(len(l), n)]
}

func (l ranking) cells() []uint16 {
	out := make([]uint16, 0, len(l))
	for _, x := range l {
		out = append(out, x.cell)
	}
	return out
}

// cellAt returns the cell at a position of a replica's ranking.
func (a *Assignment) cellAt(r *replica, position int) int {
	for position >= len(r.ranking) {
		r.ranking = a.rank(r, min(4*len(r.ranking), len(a.cells)))
	}
	return int(r.ranking[position])
}

// choose assigns a replica without a cell to one from the given position of its ranking
// on, and does the same for those that it displaces. There is always one: the capacities
// add up to the number of replicas.
func (a *Assignment) choose(r *replica, from int) {
	for position := from; position < len(a.cells); position++ {
		cell := a.cellAt(r, position)
		displaced, accepted := a.enter(r, cell, position)
		switch {
		case !accepted:
			a.cells[cell].refused = insert(a.cells[cell].refused, r)
		case displaced == nil:
			return
		default:
			r, position = displaced, displaced.position
		}
	}
}

// enter puts a replica into the cell at a position of its ranking, and reports whether the
// cell accepts it. If the cell was full, the last of its members to choose is displaced and
// refused there.
func (a *Assignment) enter(r *replica, cell, position int) (displaced *replica, accepted bool) {
	c := &a.cells[cell]
	if len(c.members) >= c.capacity {
		if c.capacity == 0 {
			return nil, false
		}
		last := c.members[len(c.members)-1]
		if last.choosesBefore(r) < 0 {
			return nil, false
		}
		displaced = last
		a.leave(last)
		c.refused = insert(c.refused, last)
	}
	a.join(r, cell, position)
	return displaced, true
}

func (a *Assignment) join(r *replica, cell, position int) {
	r.cell, r.position = cell, position
	a.cells[cell].members = insert(a.cells[cell].members, r)
	a.moved[r.id] = true
}

// leave takes a replica out of its cell.
func (a *Assignment) leave(r *replica) {
	c := &a.cells[r.cell]
	c.members = remove(c.members, r)
	r.cell = noCell
	a.moved[r.id] = true
}

// displaceLast makes the last member of a cell choose again.
func (a *Assignment) displaceLast(cell int) {
	c := &a.cells[cell]
	last := c.members[len(c.members)-1]
	a.leave(last)
	c.refused = insert(c.refused, last)
	a.choose(last, last.position+1)
}

// fill gives free capacity of a cell to the first replica that was refused there, and the
// capacity that this one leaves to the next.
func (a *Assignment) fill(cell int) {
	for {
		c := &a.cells[cell]
		if len(c.members) >= c.capacity || len(c.refused) == 0 {
			return
		}
		r := c.refused[0]
		position := slices.Index(r.ranking, uint16(cell))
		a.withdrawRefusals(r, position)
		from := r.cell
		a.leave(r)
		a.join(r, cell, position)
		cell = from
	}
}

// withdrawRefusals removes a replica from the refused ones of the cells of its ranking
// from a position on.
func (a *Assignment) withdrawRefusals(r *replica, from int) {
	for _, cell := range r.ranking[from:r.position] {
		a.cells[cell].refused = remove(a.cells[cell].refused, r)
	}
}

func insert(list []*replica, r *replica) []*replica {
	at, _ := slices.BinarySearchFunc(list, r, (*replica).choosesBefore)
	return slices.Insert(list, at, r)
}

func remove(list []*replica, r *replica) []*replica {
	at, ok := slices.BinarySearchFunc(list, r, (*replica).choosesBefore)
	if !ok {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// Resized returns the assignment of the same replicas to another number of cells. All of
// them are returned by its TakeMoved.
func (a *Assignment) Resized(cells int) *Assignment {
	out := newEmptyAssignment(len(a.replicas), cells)
	for id, old := range a.replicas {
		r := &replica{id: id, order: old.order, cell: noCell}
		r.ranking = out.rerank(r, old.ranking, len(a.cells))
		out.replicas[id] = r
	}
	out.chooseAll()
	return out
}
