package node

import (
	"bytes"
	"maps"
	"time"

	"quinceroad/coordination/changes"
	"quinceroad/coordination/drains"
	"quinceroad/coordination/listing"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// replicaSet holds the store's list of replicas and the inferred drains, which take
// precedence over it. What a change of the list costs depends on what has changed.
type replicaSet struct {
	changeLog      *changes.Log
	records        map[string]*replicaRecord // by name
	addresses      map[string]int            // number of replicas by address (IP:port)
	index          *listing.Index
	services       map[string]serviceTraits // of the configuration with which the index was built
	inferredDrains *drains.Table
	listedDrains   map[string]time.Duration // by incarnation: last time at which its entry said that it drains
	drainsPrunedAt time.Duration
	invalid        map[string]bool          // names of entries that can't be parsed and were logged
	loggedWarming  map[string]time.Duration // end of the warm-up that was logged, by incarnation

	divided     bool            // the replicas are assigned to cells
	loaded      bool            // the list was read or received
	grewAt      time.Duration   // last time at which it was loaded or many replicas changed at once
	outdated    map[string]bool // incarnations whose drain was inferred or stated since they were last updated
	allOutdated bool            // the drained halls or the services have changed
}

// replicaRecord is what is kept of a parsed entry of the store's list, beside the replica
// in the index.
type replicaRecord struct {
	value        []byte // as stored
	incarnation  string
	address      string
	draining     bool          // as the entry says
	warmingUntil time.Duration // end of the warm-up that the replica reports
}

// serviceTraits is what the replicas in the index depend on of a service's configuration.
type serviceTraits struct {
	kind    listing.Kind
	divided bool          // its replicas are assigned to cells if it has any
	warmUp  time.Duration // 0: none
}

func newReplicaSet() *replicaSet {
	return &replicaSet{
		changeLog:      changes.New(platform.EquivalentReplicas),
		records:        make(map[string]*replicaRecord),
		addresses:      make(map[string]int),
		index:          newIndex(nil, false),
		inferredDrains: drains.NewTable(),
		listedDrains:   make(map[string]time.Duration),
		invalid:        make(map[string]bool),
		loggedWarming:  make(map[string]time.Duration),
		outdated:       make(map[string]bool),
	}
}

// replicaSetChanges describes what a refresh has changed.
type replicaSetChanges struct {
	updated   []catalog.Replica // those that were added or have changed
	invalid   []string          // names of entries that can't be parsed and were valid or absent before
	removed   []catalog.Replica // incarnations that are no longer listed although no drain was stated or inferred
	restarted []catalog.Replica // incarnations whose replica now runs a newer one
}

// refreshReplicas updates the index with the entries that have changed, and with all
// replicas if the drained halls or their services have changed. The caller holds
// watchedMu.
func (n *Node) refreshReplicas(now time.Duration) (out replicaSetChanges) {
	s := n.replicas
	batch := make(map[string]*catalog.Replica) // by incarnation; nil: removed
	if s.changeLog.IsLoaded() && !s.loaded {
		s.loaded, s.grewAt = true, now
	}
	s.pruneListedDrains(now)
	for name := range s.changeLog.TakeChanged() {
		s.parse(now, name, batch, &out)
	}
	n.sortRemoved(batch, &out)
	if len(batch) >= growthBatch {
		s.grewAt = now
	}
	if traits := s.traitsOf(n.config); !maps.Equal(traits, s.services) {
		s.services = traits
		s.rebuild(batch, newIndex(serviceKinds(n.config), s.divided))
	}
	s.addOutdated(batch)
	list := make([]listing.Change, 0, len(batch))
	for incarnation, r := range batch {
		if r != nil {
			n.derive(r)
			out.updated = append(out.updated, *r)
		}
		list = append(list, listing.Change{Incarnation: incarnation, Replica: r})
	}
	if len(list) > 0 {
		s.index.Apply(list)
	}
	return out
}

// parse parses a changed entry, and adds the incarnations that it adds and removes to the
// batch.
func (s *replicaSet) parse(now time.Duration, name string, batch map[string]*catalog.Replica, out *replicaSetChanges) {
	value, listed := s.changeLog.Value(name)
	old := s.records[name]
	if !listed {
		delete(s.invalid, name)
		s.unlist(name, batch)
		return
	}
	if old != nil && bytes.Equal(old.value, value) {
		return
	}
	r, err := platform.ParseReplica(name, value)
	if err != nil {
		if !s.invalid[name] {
			out.invalid = append(out.invalid, name)
		}
		s.invalid[name] = true
		s.unlist(name, batch)
		return
	}
	delete(s.invalid, name)
	r.Draining = s.holdDrain(now, &r)
	if old != nil && old.incarnation != r.ID {
		batch[old.incarnation] = nil
	}
	s.countAddress(old, -1)
	s.records[name] = &replicaRecord{value: value, incarnation: r.ID, address: r.Address, draining: r.Draining, warmingUntil: now + r.WarmupLeft}
	s.countAddress(s.records[name], 1)
	batch[r.ID] = &r
}

// holdDrain reports whether a parsed replica drains. A drain holds for the rest of an
// incarnation, also if the store comes back from a copy in which the entry does not say so
// yet.
func (s *replicaSet) holdDrain(now time.Duration, r *catalog.Replica) bool {
	_, held := s.listedDrains[r.ID]
	if !held && !r.Draining {
		return false
	}
	s.listedDrains[r.ID] = now
	return true
}

// listedDrainTTL is longer than a replica drains and a copy of the store lags.
const listedDrainTTL = 5 * time.Minute

// pruneListedDrains drops the drains that are older than listedDrainTTL, once in that time.
func (s *replicaSet) pruneListedDrains(now time.Duration) {
	if now-s.drainsPrunedAt < listedDrainTTL {
		return
	}
	s.drainsPrunedAt = now
	maps.DeleteFunc(s.listedDrains, func(_ string, at time.Duration) bool { return now-at >= listedDrainTTL })
}

// unlist removes the incarnation of a name.
func (s *replicaSet) unlist(name string, batch map[string]*catalog.Replica) {
	if old := s.records[name]; old != nil {
		batch[old.incarnation] = nil
		s.countAddress(old, -1)
		delete(s.records, name)
	}
}

// countAddress adds n to the number of replicas at a record's address.
func (s *replicaSet) countAddress(record *replicaRecord, n int) {
	if record == nil {
		return
	}
	s.addresses[record.address] += n
	if s.addresses[record.address] == 0 {
		delete(s.addresses, record.address)
	}
}

// isListedAddress reports whether a listed replica has an address (IP:port).
func (n *Node) isListedAddress(address string) bool {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.addresses[address] > 0
}

// sortRemoved adds the removed incarnations of a batch to those whose replica has
// restarted or to those that are no longer listed without a drain.
func (n *Node) sortRemoved(batch map[string]*catalog.Replica, out *replicaSetChanges) {
	for incarnation, r := range batch {
		old, known := n.replicas.index.List().Replica(incarnation)
		if r != nil || !known {
			continue
		}
		if n.replicas.records[old.Name] != nil {
			out.restarted = append(out.restarted, old)
		} else if !old.Draining && !n.isDraining(incarnation) {
			out.removed = append(out.removed, old)
		}
	}
}

// rebuild replaces the index and puts all replicas into the batch, so that they are added
// to the new one.
func (s *replicaSet) rebuild(batch map[string]*catalog.Replica, index *listing.Index) {
	s.putAll(batch)
	maps.DeleteFunc(batch, func(_ string, r *catalog.Replica) bool { return r == nil })
	s.index, s.allOutdated = index, false
}

// putAll puts all replicas that are listed and not in the batch into it.
func (s *replicaSet) putAll(batch map[string]*catalog.Replica) {
	for e := range s.index.List().All() {
		if _, ok := batch[e.ID]; !ok {
			r := e.Replica
			batch[e.ID] = &r
		}
	}
}

// addOutdated adds the replicas to the batch that have to be derived again.
func (s *replicaSet) addOutdated(batch map[string]*catalog.Replica) {
	if s.allOutdated {
		s.putAll(batch)
	}
	for incarnation := range s.outdated {
		if _, ok := batch[incarnation]; ok {
			continue
		}
		if r, listed := s.index.List().Replica(incarnation); listed {
			batch[incarnation] = &r
		}
	}
	s.allOutdated = false
	clear(s.outdated)
}

// derive sets the fields of a listed replica that don't stand in its entry alone. The
// caller holds watchedMu.
func (n *Node) derive(r *catalog.Replica) {
	record := n.replicas.records[r.Name]
	r.Draining = record.draining || n.isDraining(r.ID)
	r.Region = n.regionMap.RegionOf(r.Hall)
	r.HallDrained = n.drainedHalls.IsDrained(r.Hall)
	r.WarmingUntil = n.warmingUntil(n.config, r, record.warmingUntil)
}

// isDraining reports whether a drain of an incarnation was inferred or stated. The caller
// holds watchedMu.
func (n *Node) isDraining(incarnation string) bool {
	return n.replicas.inferredDrains.Has(incarnation) || n.advisories.isDraining(incarnation)
}

func (s *replicaSet) traitsOf(c *catalog.Configuration) map[string]serviceTraits {
	traits := make(map[string]serviceTraits)
	if c == nil {
		return traits
	}
	kinds := serviceKinds(c)
	for name, service := range c.Services {
		t := serviceTraits{kind: kinds[name], divided: s.divided}
		if service.WarmUp != nil {
			t.warmUp = service.WarmUp.Duration
		}
		traits[name] = t
	}
	return traits
}

// newlyWarming returns those of the updated replicas that are warming up now and were not
// before.
func (s *replicaSet) newlyWarming(now time.Duration, updated []catalog.Replica) []catalog.Replica {
	maps.DeleteFunc(s.loggedWarming, func(_ string, until time.Duration) bool { return until <= now })
	var out []catalog.Replica
	for _, r := range updated {
		if r.WarmingUntil <= now {
			continue
		}
		if s.loggedWarming[r.ID] <= now {
			out = append(out, r)
		}
		s.loggedWarming[r.ID] = r.WarmingUntil
	}
	return out
}

// maxInvalidLines is the maximum number of lines that one change of the list logs for
// entries that can't be parsed; the rest is counted in one more line.
const maxInvalidLines = 100

// logInvalidEntries logs the entries that can't be parsed and were valid or absent before.
func (n *Node) logInvalidEntries(names []string, known int) {
	n.counters.invalidEntries.Inc(int64(len(names)))
	for _, name := range names[:min(len(names), maxInvalidLines)] {
		event.NodeStoreEntryInvalid.Log(n.log, "name", name[:min(len(name), maxLoggedName)])
	}
	if unlogged := len(names) - maxInvalidLines; unlogged > 0 {
		event.NodeStoreEntriesInvalid.Log(n.log, "unlogged", unlogged, "known", known)
	}
}

const maxLoggedName = 64 // bytes; a name may be anything that a key may be
