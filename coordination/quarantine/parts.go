package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// A shared part is in many requests, and most parts of a request that crashes its replica are
// sound. So the ends under a part alone do not quarantine it:
//
//   - What many requests share is answered all the time, which clears it.
//   - What is left with Options.PartSuspectAt ends is suspect: of the requests with it one is
//     sent at a time.
//   - A part is quarantined if a replica ends in such a trial as well.
//   - Features that were always together have the same ends: parts, or a part and the one request
//     that crashes replicas by the rest of it. A request with some of them only tells them apart:
//     it is no suspect for their ends, and is tried although they are quarantined.

// maxTrialsPerRequest bounds the features of one request that are tried at once.
const maxTrialsPerRequest = 4

// Request names the features of a request.
type Request struct {
	Whole Fingerprint
	Parts []Fingerprint // those that it shares with other requests
}

// Judgement is the verdict on a request by its features.
type Judgement struct {
	Verdict Verdict
	Ends    int           // number of replicas that ended under its most suspect feature
	Trials  []Fingerprint // suspect features, in ascending order: the request may be sent with a trial lease of each
	Cause   Fingerprint   // the feature that is quarantined, if the verdict is Quarantined
}

// Judge returns the verdict on a request that a caller sends and renews its cases.
func (t *Tracker) Judge(now time.Duration, r Request) Judgement {
	var j Judgement
	var suspects []*Case
	for _, f := range append([]Fingerprint{r.Whole}, r.Parts...) {
		c := t.cases[f]
		if c == nil {
			continue
		}
		c.LastRequested = now
		switch t.verdictIn(now, c, r) {
		case Suspect:
			suspects = append(suspects, c)
			j.Ends = max(j.Ends, len(c.Ended))
			j.Verdict = max(j.Verdict, Suspect)
		case Quarantined:
			return Judgement{Verdict: Quarantined, Ends: len(c.Ended), Cause: f}
		}
	}
	slices.SortStableFunc(suspects, func(a, b *Case) int { return cmp.Compare(len(b.Ended), len(a.Ended)) })
	for _, c := range suspects[:min(len(suspects), maxTrialsPerRequest)] {
		j.Trials = append(j.Trials, c.Fingerprint)
	}
	slices.Sort(j.Trials) // leases that are acquired in the same order by all can't block each other
	return j
}

// partVerdict returns the verdict on a part, whatever else its requests hold.
func (t *Tracker) partVerdict(c *Case) Verdict {
	switch {
	case len(c.Ended) < t.opts.PartSuspectAt:
		return Unsuspected
	case len(c.Ended) >= t.opts.QuarantineAt && len(c.Tried) > 0:
		return Quarantined
	}
	return Suspect
}

// verdictIn returns the verdict on a feature in a certain request.
func (t *Tracker) verdictIn(now time.Duration, c *Case, r Request) Verdict {
	v := t.verdictOf(c)
	switch {
	case v == Unsuspected:
		return v
	case c.Kind == SharedPart && v == Quarantined:
		if t.mayRetry(now, c, r) {
			return Suspect
		}
		return v
	case c.Kind == SharedPart:
		if t.isExplained(c, r, func(*Case) bool { return true }) {
			return Unsuspected
		}
		return v
	case t.isExplained(c, r, func(x *Case) bool { return x.Kind == SharedPart && t.verdictOf(x) == Quarantined }):
		return v - 1 // it was beside what ended its replicas
	}
	return v
}

// mayRetry reports whether a request with a quarantined part is tried all the same: once more
// after a pause, or if it tells the part apart from others.
func (t *Tracker) mayRetry(now time.Duration, c *Case, r Request) bool {
	switch tried := len(c.Tried); {
	case tried >= t.opts.MaxTrialEnds:
		return false
	case tried == 1 && now-c.triedAt >= t.opts.RetrialPause:
		return true
	}
	return t.isExplained(c, r, func(*Case) bool { return true })
}

// isExplained reports whether all replicas that ended under a feature also ended under another
// one that a request does not hold.
func (t *Tracker) isExplained(c *Case, r Request, by func(*Case) bool) bool {
	for _, x := range t.order {
		if x == c || len(x.Ended) < len(c.Ended) || x.Fingerprint == r.Whole || slices.Contains(r.Parts, x.Fingerprint) {
			continue
		}
		if by(x) && containsAll(x.Ended, c.Ended) {
			return true
		}
	}
	return false
}

func containsAll(set, of []Incarnation) bool {
	for _, inc := range of {
		if !slices.Contains(set, inc) {
			return false
		}
	}
	return true
}

// RecordBrokenParts records that an answer broke off at a replica, for the parts of its prompt.
// trials are the features for which the request held trial leases.
func (t *Tracker) RecordBrokenParts(now time.Duration, parts, trials []Fingerprint, inc Incarnation) []Change {
	var out []Change
	for _, f := range parts {
		if t.sound.has(now, f) {
			continue
		}
		out = append(out, t.recordBroken(brokenAnswer{
			fingerprint: f, kind: SharedPart, inTrial: slices.Contains(trials, f), incarnation: inc, brokenAt: now,
		})...)
	}
	return out
}

// RecordSoundParts records that the parts of a prompt were in a request that certainly got a
// complete answer. It clears them of the known ends and, for up to PartSuccessTTL, of later ones.
func (t *Tracker) RecordSoundParts(now time.Duration, parts []Fingerprint) []Change {
	var out []Change
	for _, f := range parts {
		t.sound.record(now, f)
		out = append(out, t.Release(now, f)...)
	}
	return out
}

// IsPartBlamed reports whether the end of a replica is one of those for which a part of prompts
// is suspect or quarantined.
func (t *Tracker) IsPartBlamed(inc Incarnation) bool {
	return slices.ContainsFunc(t.order, func(c *Case) bool {
		return c.Kind == SharedPart && t.verdictOf(c) != Unsuspected && slices.Contains(c.Ended, inc)
	})
}

// CountQuarantined returns the number of quarantined features by kind.
func (t *Tracker) CountQuarantined() map[Kind]int {
	counts := make(map[Kind]int)
	for _, c := range t.order {
		if t.verdictOf(c) == Quarantined {
			counts[c.Kind]++
		}
	}
	return counts
}
