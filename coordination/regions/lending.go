package regions

import "time"

// shortFor is how long a region that refused is not asked again for requests
// that go no sooner: a call of a pool takes a quarter of a second, and before
// one has ended its queue has hardly changed.
const shortFor = 250 * time.Millisecond

// silentFor is how long a region whose owner did not answer is not asked again:
// in a cut each question costs its caller's patience, and heartbeats tell of a
// cut after about as long again.
const silentFor = time.Second

// Lending remembers which regions refused lately, or did not answer. It is not
// safe for concurrent use.
type Availability struct {
	short  map[string][]refusal
	silent map[string]time.Duration // until when
}

type refusal struct {
	rank  int
	until time.Duration
}

// NewLending returns a memory of no refusals.
func NewAvailability() *Availability {
	return &Availability{short: make(map[string][]refusal), silent: make(map[string]time.Duration)}
}

// Unheard notes that a region did not answer; Heard that it did.
func (l *Availability) RecordNoAnswer(now time.Duration, region string) {
	l.silent[region] = now + silentFor
}

// Heard notes that a region answered.
func (l *Availability) RecordAnswer(region string) { delete(l.silent, region) }

// Silent reports whether a region did not answer a moment ago.
func (l *Availability) IsUnresponsive(now time.Duration, region string) bool {
	return l.silent[region] > now
}

// Refused notes that a region refused a request of a rank, 0 the most urgent.
func (l *Availability) RecordRefusal(now time.Duration, region string, rank int) {
	kept := l.short[region][:0]
	for _, r := range l.short[region] {
		if r.until > now && r.rank != rank {
			kept = append(kept, r)
		}
	}
	l.short[region] = append(kept, refusal{rank: rank, until: now + shortFor})
}

// Short reports whether a region is likely to refuse a request of a rank: it
// refused one as urgent, or more, a moment ago, or does not answer.
func (l *Availability) LikelyRefuses(now time.Duration, region string, rank int) bool {
	if l.IsUnresponsive(now, region) {
		return true
	}
	for _, r := range l.short[region] {
		if r.until > now && r.rank <= rank {
			return true
		}
	}
	return false
}

// Trips knows how long a question to a region and its answer take. It is not
// safe for concurrent use.
type RoundTrips struct{ took map[string]time.Duration }

// NewTrips returns what knows of no trip.
func NewRoundTrips() *RoundTrips { return &RoundTrips{took: make(map[string]time.Duration)} }

const (
	unknownTrip = 60 * time.Millisecond // to a region that has not answered yet: between cities of one country
	tripRate    = 0.2                   // weight of the last answer: the last five or so count
	mostTrip    = time.Second           // a longer one tells of a loss, not of the distance
)

// Note takes in a question's time to its answer.
func (t *RoundTrips) Observe(region string, took time.Duration) {
	if took > mostTrip {
		return
	}
	old, known := t.took[region]
	if !known {
		t.took[region] = took
		return
	}
	t.took[region] = old + time.Duration(tripRate*float64(took-old))
}

// Round returns the time there and back.
func (t *RoundTrips) Estimate(region string) time.Duration {
	if took, known := t.took[region]; known {
		return took
	}
	return unknownTrip
}
