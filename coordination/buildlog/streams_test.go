package buildlog

import (
	"maps"
	"slices"
)

// begin sends a new stream to a replica that an instance lists, and passes its first event on.
func (w *world) begin(in *instance, route Route) *stream {
	if !in.acts() || !in.hasList {
		return nil
	}
	r := in.choose(in.routes[route], "", true)
	if r == nil {
		w.score.refused++
		return nil
	}
	if !in.opens(r, route) {
		w.score.refused++
		return nil
	}
	w.lastKey++
	s := &stream{key: w.lastKey, route: route, namesFirst: !w.chance(4), service: r.service, build: r.build, began: w.now, at: in}
	w.streams = append(w.streams, s)
	w.score.began++
	in.keep(s, r)
	return s
}

// opens reports whether the gate lets a first event through.
func (in *instance) opens(r *replica, route Route) bool {
	if in.isOlder || in.w.off == gate {
		return true
	}
	if !in.log.Contains(r.service, r.build, route) {
		in.ensure(r.service)
	}
	return in.log.Contains(r.service, r.build, route)
}

// choose returns a replica of the list that answers. Its list may be old.
func (in *instance) choose(service, build string, isAny bool) *replica {
	var sound []*replica
	for _, r := range in.w.replicas {
		if in.list[r] && r.service == service && (isAny || r.build == build) {
			sound = append(sound, r)
		}
	}
	if len(sound) == 0 {
		return nil
	}
	return sound[in.w.rng.IntN(len(sound))]
}

// keep gives the record of a stream to two other instances, which persist it if needed.
func (in *instance) keep(s *stream, r *replica) {
	if in.isOlder {
		return
	}
	rec := record{service: r.service, build: r.build, until: in.w.now + takenUpIn}
	in.table[s.key] = rec
	for _, o := range in.holders(s.key, 2) {
		in.w.score.peer++
		in.w.score.peerBytes += 8 + len(r.service) + len(r.build)
		if !in.tells(o) || o.isOlder {
			continue
		}
		o.table[s.key] = rec
		if in.log.HasSeveral(r.service) || o.log.HasSeveral(r.service) {
			o.persist(s.key, rec)
		}
	}
}

// persist writes a record to the store, in a batch that may be lost.
func (in *instance) persist(key uint64, rec record) {
	if _, ok := in.w.store.records[key]; !ok && in.reachesStore() && !in.w.chance(10) {
		in.w.store.records[key] = rec
		in.w.score.recordWrites++
	}
}

// persistAll writes the records of the streams that began while the log had one build.
func (in *instance) persistAll(service string) {
	if in.w.off == persistEarlier {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(in.table)) {
		if rec := in.table[key]; rec.service == service && in.w.now < rec.until {
			in.persist(key, rec)
		}
	}
}

// holders returns the instances that are asked for a stream, as one sees them.
func (in *instance) holders(key uint64, n int) []*instance {
	all := in.w.instances
	var out []*instance
	for i := range min(n+1, len(all)) {
		if o := all[(key*2654435761+uint64(i))%uint64(len(all))]; o != in && len(out) < n {
			out = append(out, o)
		}
	}
	return out
}

// takeUp is a client's that takes a stream up at an instance.
func (w *world) takeUp(s *stream, in *instance) {
	if !in.acts() || !in.hasList {
		return
	}
	w.score.takeUps++
	isSound := w.isSound(s)
	if isSound {
		w.score.soundTakeUps++
	}
	r, by := in.bind(s)
	if r == nil {
		return
	}
	w.judge(s, r, by)
	s.at = in
	if isSound {
		w.score.wentOn++
	}
	if r.build == s.build && r.service == s.service {
		in.keep(s, r)
	}
}

// bind returns the replica at which a stream goes on, and on what grounds.
func (in *instance) bind(s *stream) (*replica, string) {
	service := in.routes[s.route]
	if in.isOlder {
		return nil, "" // judged by the landings that have this package
	}
	steps := []func(*stream, string) (record, string){in.fromRecords, in.fromLog, in.fromStore}
	if in.w.off == recordBeforeLog {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		rec, by := step(s, service)
		if by == "" {
			continue
		}
		if rec.service != service && in.w.off != recordsNameServices {
			return nil, ""
		}
		return in.choose(service, rec.build, false), by
	}
	if in.w.off == unknownIsRefused {
		return in.choose(service, "", true), "nothing"
	}
	return nil, ""
}

func (in *instance) fromRecords(s *stream, _ string) (record, string) {
	if !s.namesFirst {
		return record{}, ""
	}
	if rec, ok := in.table[s.key]; ok && in.w.now < rec.until {
		in.w.score.byRecord++
		return rec, "own record"
	}
	for _, o := range in.holders(s.key, 6) {
		if !in.asks(o) || o.isOlder {
			continue
		}
		if rec, ok := o.table[s.key]; ok && in.w.now < rec.until {
			in.w.score.byRecord++
			return rec, "a peer's record"
		}
	}
	return record{}, ""
}

func (in *instance) fromLog(s *stream, service string) (record, string) {
	snap := &in.log.known
	if in.w.off != freshRead {
		var ok bool
		if snap, ok = in.read(); !ok {
			return record{}, ""
		}
		in.observe(snap)
	}
	if in.seesOlder && in.w.off != olderPeers {
		return record{}, ""
	}
	if in.w.off == routesInLog {
		snap = &Snapshot{Entries: map[string]Entry{service: snap.Entries[service]}, Era: snap.Era}
	}
	build, ok := snap.Sole(service, s.route)
	if !ok {
		return record{}, ""
	}
	in.w.score.byLog++
	return record{service: service, build: build}, "log"
}

func (in *instance) fromStore(s *stream, _ string) (record, string) {
	if !s.namesFirst || !in.reachesStore() {
		return record{}, ""
	}
	in.w.score.recordReads++
	rec, ok := in.w.store.records[s.key]
	if !ok || in.w.now >= rec.until {
		return record{}, ""
	}
	in.w.score.byStore++
	return rec, "store's record"
}

// takeUpAll takes all streams up at an instance.
func (w *world) takeUpAll(in *instance) {
	for _, s := range slices.Clone(w.streams) {
		w.takeUp(s, in)
	}
}
