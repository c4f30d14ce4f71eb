// Package regions maps data halls to regions, numbers the cells of each region,
// and decides which regions may serve a request.
//
// A region is a group of halls close to each other. Links between regions are
// slow and expensive, so each region decides for itself and asks another only
// for requests that it can't serve. A hall of unknown region counts as remote
// from all others. The package is pure.
package regions

import "slices"

// Distance classifies how far apart two halls are.
type Distance int

// The distances, in ascending order.
const (
	SameHall Distance = iota
	SameRegion
	Remote
)

// String returns the distance's name for logs.
func (d Distance) String() string {
	switch d {
	case SameHall:
		return "hall"
	case SameRegion:
		return "region"
	}
	return "far"
}

// Map maps halls to regions. It is immutable.
type Map struct {
	byHall map[string]string
	names  []string // sorted; the last one is "", for halls of unknown region
}

// New returns the map of the halls with configured regions. If there are none,
// all halls form one region.
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

// RegionOf returns the region of a hall; "" if unknown.
func (m *Map) RegionOf(hall string) string { return m.byHall[hall] }

// Names returns the sorted region names; the last one is "", for halls of
// unknown region.
func (m *Map) Names() []string { return m.names }

// HasRegions reports whether any hall has a configured region.
func (m *Map) HasRegions() bool { return len(m.names) > 1 }

// Distance returns the distance between two halls.
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

// MaxCellsPerRegion is the size of the block of cell numbers reserved for each
// region: the region with index i starts at i times that, so that adding cells
// in one region doesn't renumber another's.
const MaxCellsPerRegion = 1 << 10

// CellNumber returns the global number of a region's cell.
func (m *Map) CellNumber(region string, local int) int {
	return m.regionIndex(region)*MaxCellsPerRegion + local
}

// RegionOfCell returns the region of a cell and its local number there; the
// inverse of CellNumber.
func (m *Map) RegionOfCell(cell int) (region string, local int) {
	index := min(cell/MaxCellsPerRegion, len(m.names)-1)
	return m.names[index], cell % MaxCellsPerRegion
}

func (m *Map) regionIndex(region string) int {
	if i := slices.Index(m.names, region); i >= 0 {
		return i
	}
	return len(m.names) - 1
}
