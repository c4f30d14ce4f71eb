package regions

import "time"

// refusalTTL is the time for which a region that refused a request is not asked
// for requests of the same or a less urgent rank. A batch takes a quarter of a
// second, and the queue hardly changes before one has ended.
const refusalTTL = 250 * time.Millisecond

// unresponsiveTTL is the time for which a region whose owner didn't answer is
// not asked again. During a network partition each attempt costs the caller its
// timeout, and heartbeats take about as long to detect the partition.
const unresponsiveTTL = time.Second

// Availability tracks which regions recently refused requests or didn't answer.
// It is not safe for concurrent use.
type Availability struct {
	refusals          map[string][]refusal
	unresponsiveUntil map[string]time.Duration // time at which the region is asked again
}

type refusal struct {
	rank  int
	until time.Duration
}

// NewAvailability returns a tracker without refusals.
func NewAvailability() *Availability {
	return &Availability{refusals: make(map[string][]refusal), unresponsiveUntil: make(map[string]time.Duration)}
}

// RecordNoAnswer records that a region did not answer.
func (a *Availability) RecordNoAnswer(now time.Duration, region string) {
	a.unresponsiveUntil[region] = now + unresponsiveTTL
}

// RecordAnswer records that a region answered.
func (a *Availability) RecordAnswer(region string) { delete(a.unresponsiveUntil, region) }

// IsUnresponsive reports whether a region recently didn't answer.
func (a *Availability) IsUnresponsive(now time.Duration, region string) bool {
	return a.unresponsiveUntil[region] > now
}

// RecordRefusal records that a region refused a request of a rank; 0 is the
// most urgent.
func (a *Availability) RecordRefusal(now time.Duration, region string, rank int) {
	kept := a.refusals[region][:0]
	for _, r := range a.refusals[region] {
		if r.until > now && r.rank != rank {
			kept = append(kept, r)
		}
	}
	a.refusals[region] = append(kept, refusal{rank: rank, until: now + refusalTTL})
}

// LikelyRefuses reports whether a region is likely to refuse a request of a
// rank: it is unresponsive, or recently refused a request of the same or a more
// urgent rank.
func (a *Availability) LikelyRefuses(now time.Duration, region string, rank int) bool {
	if a.IsUnresponsive(now, region) {
		return true
	}
	for _, r := range a.refusals[region] {
		if r.until > now && r.rank <= rank {
			return true
		}
	}
	return false
}

// RoundTrips estimates the round-trip time to each region. It is not safe for
// concurrent use.
type RoundTrips struct{ times map[string]time.Duration }

// NewRoundTrips returns an estimator without measurements.
func NewRoundTrips() *RoundTrips { return &RoundTrips{times: make(map[string]time.Duration)} }

const (
	defaultRoundTrip = 60 * time.Millisecond // between cities of one country, until the region has answered
	roundTripWeight  = 0.2                   // weight of the last answer: about the last five count
	maxRoundTrip     = time.Second           // a longer time indicates a lost message, not the distance
)

// Observe records the time between a request to a region and its answer.
func (t *RoundTrips) Observe(region string, took time.Duration) {
	if took > maxRoundTrip {
		return
	}
	old, known := t.times[region]
	if !known {
		t.times[region] = took
		return
	}
	t.times[region] = old + time.Duration(roundTripWeight*float64(took-old))
}

// Estimate returns the expected round-trip time to a region.
func (t *RoundTrips) Estimate(region string) time.Duration {
	if took, known := t.times[region]; known {
		return took
	}
	return defaultRoundTrip
}
