package changes

import "time"

const (
	// missingTTL is the time for which a value of the previous era holds on that the copy
	// lacks: the writers of such values write them again within about two seconds.
	missingTTL = 4 * time.Second
	// resurrectedTTL is the time for which a value that was deleted in the previous era, and
	// that the copy holds, is not in force unless it is written again. By then the leases of
	// values without a writer have expired.
	resurrectedTTL = 10 * time.Second
)

// overlay holds what of the previous era holds on although the copy from which the store came
// back says otherwise. A change in the new era ends it for its key.
type overlay struct {
	missing     map[string][]byte // values that the copy lacks
	resurrected map[string]bool   // keys that were deleted and that the copy holds
	startedAt   time.Duration
}

// startEra compares the content of the previous era, with its recent changes, with the copy.
func (o *overlay) startEra(now time.Duration, previous, copy map[string][]byte, recent []Entry) {
	missing, resurrected := make(map[string][]byte), make(map[string]bool)
	keep := func(values map[string][]byte) {
		for id, value := range values {
			if _, ok := copy[id]; !ok {
				missing[id] = value
			}
		}
	}
	keep(o.missing)
	keep(previous)
	hide := func(id string) {
		_, listed := previous[id]
		if _, ok := copy[id]; ok && (!listed || o.resurrected[id]) {
			resurrected[id] = true
		}
	}
	for id := range o.resurrected {
		hide(id)
		delete(missing, id)
	}
	for _, e := range recent {
		if e.Deleted {
			hide(e.ID)
		}
	}
	*o = overlay{missing: missing, resurrected: resurrected, startedAt: now}
}

// kept returns the value of a key that the copy lacks, or false if none holds on.
func (o *overlay) kept(id string) ([]byte, bool) {
	value, ok := o.missing[id]
	return value, ok
}

// hides reports whether the value of a key is not in force.
func (o *overlay) hides(id string) bool { return o.resurrected[id] }

// end ends what holds on for a key.
func (o *overlay) end(id string) {
	delete(o.missing, id)
	delete(o.resurrected, id)
}

// expire ends what holds on for longer than its time, and returns its keys.
func (o *overlay) expire(now time.Duration) (ended []string) {
	if now-o.startedAt >= missingTTL {
		for id := range o.missing {
			ended = append(ended, id)
		}
		o.missing = nil
	}
	if now-o.startedAt >= resurrectedTTL {
		for id := range o.resurrected {
			ended = append(ended, id)
		}
		o.resurrected = nil
	}
	return ended
}
