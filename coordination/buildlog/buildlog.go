// Package buildlog keeps which builds of each service may have begun streams, and on which
// routes. The log of a service is an entry of the platform's store, which outlives all
// instances.
//
// An instance passes on the first event of a resumable stream only once it knows that the log
// holds the build that wrote it, and the route. So who reads the logs after a stream broke off,
// and finds one service with the route, and one build of it in a complete log, knows the build
// that began the stream, whatever else it has seen or missed. What is not known stays unknown:
// an absent log, an incomplete one, one of an earlier era of the store, and one that was read
// before the question came up prove nothing.
//
// The package does no I/O and reads no clock.
package buildlog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// RetireTime is how long one instance must have seen nothing of a build or route before the
	// log says that it retires.
	RetireTime = 5 * time.Minute
	// SettleTime is how long a build or route must have retired before it leaves the log, and
	// how long a log must have stood to be complete. Until then an instance that is cut off from
	// everyone may still send streams to a replica that is no longer listed, and a stream that
	// began before the log may be taken up.
	SettleTime = 3 * time.Hour
	// maxSettleGap is the longest time between two looks for them to count as one.
	maxSettleGap = time.Minute
	// MaxBuilds and MaxRoutes bound an entry. Streams don't begin at builds and on routes
	// beyond them.
	MaxBuilds = 1024
	MaxRoutes = 4096
)

// Route identifies the requests of a route by their host and path prefix, whatever its name.
type Route string

// RouteOf returns the identity of the route of a host and path prefix.
func RouteOf(host, prefix string) Route { return Route(host + prefix) }

// overlaps reports whether a request may go to either route, depending on which of them there
// are: prefixes end with a slash, and the longest one that fits is taken.
func (r Route) overlaps(other Route) bool {
	return strings.HasPrefix(string(r), string(other)) || strings.HasPrefix(string(other), string(r))
}

// Entry is the log of one service.
type Entry struct {
	Builds     []string // that may have begun streams, sorted
	Routes     []Route  // on which streams may have begun, sorted
	Retiring   Wanted   // those of them that leave the log unless they are wanted again
	Incomplete bool     // builds and routes that are not in it may have, too
	Era        uint64   // of the store's history in which it was written
	Revision   uint64   // of the store's entry; 0: there is none
}

// Wanted is what the log of a service must hold before streams begin.
type Wanted struct {
	Builds []string
	Routes []Route
}

// And returns what is wanted by one or the other.
func (w Wanted) And(other Wanted) Wanted {
	return Wanted{union(w.Builds, other.Builds), union(w.Routes, other.Routes)}
}

// Has reports whether the log holds all that is wanted, and for good.
func (e *Entry) Has(w *Wanted) bool {
	return isSubset(w.Builds, e.Builds) && isSubset(w.Routes, e.Routes) &&
		!slices.ContainsFunc(w.Builds, func(b string) bool { return slices.Contains(e.Retiring.Builds, b) }) &&
		!slices.ContainsFunc(w.Routes, func(r Route) bool { return slices.Contains(e.Retiring.Routes, r) })
}

// isSubset reports whether a sorted list holds all of some elements.
func isSubset[T cmp.Ordered](some, sorted []T) bool {
	return !slices.ContainsFunc(some, func(x T) bool {
		_, found := slices.BinarySearch(sorted, x)
		return !found
	})
}

// with returns the entry that the store should hold in an era, so that it covers what is
// wanted. isFirst reports that no stream of the service can have begun before.
func (e *Entry) with(w *Wanted, era uint64, isFirst bool) Entry {
	out := Entry{Incomplete: e.Incomplete, Era: era, Revision: e.Revision}
	switch {
	case e.Revision == 0:
		out.Incomplete = !isFirst
	case e.Era != era: // the store has lost its newest changes
		out.Incomplete = true
	}
	out.Builds = union(e.Builds, upTo(MaxBuilds-len(e.Builds), without(w.Builds, e.Builds)))
	out.Routes = union(e.Routes, upTo(MaxRoutes-len(e.Routes), without(w.Routes, e.Routes)))
	out.Retiring = Wanted{without(e.Retiring.Builds, w.Builds), without(e.Retiring.Routes, w.Routes)}
	return out
}

// union returns the elements of two lists, sorted, each once.
func union[T cmp.Ordered](a, b []T) []T {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// upTo returns the first n elements of a list.
func upTo[T any](n int, list []T) []T { return list[:max(0, min(n, len(list)))] }

// without returns the elements of a list that are not in another one.
func without[T cmp.Ordered](list, others []T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return slices.Contains(others, x) })
}

// Snapshot is what a read of the store returned: the logs of all services.
type Snapshot struct {
	Entries map[string]Entry // by service
	Era     uint64           // of the store's history, stated by the answer
}

// Sole returns the only build that may have begun a stream on a route that goes to a service,
// given a read of the store that began after the stream broke off. It returns false if there
// may be several, or a stream may have begun at another service.
func (s *Snapshot) Sole(service string, route Route) (string, bool) {
	e, ok := s.Entries[service]
	if !ok || e.Incomplete || e.Era != s.Era || len(e.Builds) != 1 || !isSubset([]Route{route}, e.Routes) || s.isShared(service, route) {
		return "", false
	}
	return e.Builds[0], true
}

// isShared reports whether the log of another service holds a route to which a route's
// requests may have gone.
func (s *Snapshot) isShared(service string, route Route) bool {
	for other, e := range s.Entries {
		if other != service && slices.ContainsFunc(e.Routes, route.overlaps) {
			return true
		}
	}
	return false
}

// sharing returns the services of which isShared holds for a route in their log.
func (s *Snapshot) sharing() map[string]bool {
	type owned struct {
		route   Route
		service string
	}
	var all []owned
	for service, e := range s.Entries {
		for _, r := range e.Routes {
			all = append(all, owned{r, service})
		}
	}
	slices.SortFunc(all, func(a, b owned) int { return cmp.Compare(a.route, b.route) })
	out := make(map[string]bool)
	var outer []owned // routes that contain the one before, the outermost first
	for _, o := range all {
		for len(outer) > 0 && !o.route.overlaps(outer[len(outer)-1].route) {
			outer = outer[:len(outer)-1]
		}
		for _, x := range outer {
			if x.service != o.service {
				out[x.service], out[o.service] = true, true
			}
		}
		outer = append(outer, o)
	}
	return out
}

// Missing returns the entry that has to be written so that a service's log holds what is
// wanted, and whether one has to be. isFirst reports that no stream of the service can have
// begun before.
func (s *Snapshot) Missing(service string, w Wanted, isFirst bool) (Entry, bool) {
	e := s.Entries[service]
	if e.Revision != 0 && e.Era == s.Era && e.Has(&w) {
		return Entry{}, false
	}
	out := e.with(&w, s.Era, isFirst)
	isNew := e.Revision == 0 || e.Era != s.Era || len(out.Builds) > len(e.Builds) || len(out.Routes) > len(e.Routes) ||
		len(out.Retiring.Builds) < len(e.Retiring.Builds) || len(out.Retiring.Routes) < len(e.Retiring.Routes)
	return out, isNew
}
