// Package regions says how far apart data halls are, which cells serve which
// region, and which regions may serve a request.
//
// A region is a group of halls that are near each other. What lies between two
// regions is slow and dear, so each region decides for itself, and one asks
// another only for what it can't do. A hall that nobody can place counts as far
// from all others. It is pure.
package regions

import "slices"

// Distance is how far two halls are apart.
type Distance int

// The distances, the shortest first.
const (
	SameHall Distance = iota
	SameRegion
	Remote
)

// String implements fmt.Stringer.
func (d Distance) String() string {
	switch d {
	case SameHall:
		return "hall"
	case SameRegion:
		return "region"
	}
	return "far"
}

// Map knows the regions of halls. It is never changed once made.
type Map struct {
	byHall map[string]string
	names  []string // by name; the last one is "", of the halls that nobody can place
}

// New returns the map of halls whose regions are stated. Where none is, all
// halls are one region.
func New(byHall map[string]string) *Map {
	m := &Map{byHall: byHall}
	for _, region := range byHall {
		if region != "" && !slices.Contains(m.names, region) {
			m.names = append(m.names, region)
		}
	}
	slices.Sort(m.names)
	m.names = append(m.names, "")
	return m
}

// Of returns the region of a hall, "" where it is not known.
func (m *Map) RegionOf(hall string) string { return m.byHall[hall] }

// Names returns the regions by name, the last one "" for the halls that nobody
// can place.
func (m *Map) Names() []string { return m.names }

// Stated reports whether any hall's region is stated.
func (m *Map) HasRegions() bool { return len(m.names) > 1 }

// Between returns the distance of two halls.
func (m *Map) Distance(a, b string) Distance {
	region := m.byHall[a]
	switch {
	case a == b && a != "":
		return SameHall
	case !m.HasRegions(), region != "" && region == m.byHall[b]:
		return SameRegion
	}
	return Remote
}

// Stride is the number of cells that a region may have: the first cell of the
// region in place i is i times that, so that one region's growth does not
// number another's anew.
const MaxCellsPerRegion = 1 << 10

// Cell returns the number of a region's cell.
func (m *Map) CellNumber(region string, local int) int {
	return m.place(region)*MaxCellsPerRegion + local
}

// Home returns the region of a cell and the cell's place there.
func (m *Map) RegionOfCell(cell int) (region string, local int) {
	place := min(cell/MaxCellsPerRegion, len(m.names)-1)
	return m.names[place], cell % MaxCellsPerRegion
}

func (m *Map) place(region string) int {
	if i := slices.Index(m.names, region); i >= 0 {
		return i
	}
	return len(m.names) - 1
}
