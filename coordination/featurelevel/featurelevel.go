// Package featurelevel negotiates the feature level that all live instances support while
// instances of several builds run together, as during an upgrade.
//
// Each instance announces the level of its build. A feature that older builds would
// misinterpret is enabled once all instances have announced its level for SettleTime,
// and disabled at once when an instance appears that does not support it. Disabling
// a feature for too long costs some bytes; enabling it too early causes misread
// messages.
//
// The package does no I/O and reads no clock.
package featurelevel

import (
	"slices"
	"time"
)

// The feature levels. A build supports its own level and all lower ones.
const (
	// Unannounced stands for builds that announce no level: some identify replicas by name
	// only, some have no trial leases for suspect requests.
	Unannounced uint32 = iota
	// ReplicaIncarnations adds replica incarnations, trial leases for suspect requests,
	// replica advisories and refused frames.
	ReplicaIncarnations
	// RelayedConnections adds connections to replicas that a peer opens and relays.
	RelayedConnections
	// StreamOrigins adds records of the builds that began streams.
	StreamOrigins
	// BuildLogs adds logs of the builds that may have begun streams, and records of streams,
	// in the platform's store.
	BuildLogs
)

// features describes, for operators, what each level enables.
var features = map[uint32]string{
	ReplicaIncarnations: "replicas are named once, and a suspect has one arbiter",
	StreamOrigins:       "a stream that its client takes up again goes on at the build that began it",
	BuildLogs:           "the build that began a stream is known after the loss of all instances",
	RelayedConnections:  "an instance that is cut off from replicas reaches them through its peers",
}

// PendingFeatures returns the features of this build that need a higher level than the
// one in force.
func PendingFeatures(inForce uint32) []string {
	var out []string
	for l := inForce + 1; l <= Current; l++ {
		out = append(out, features[l])
	}
	return out
}

// Current is the feature level of this build.
const Current = BuildLogs

// SettleTime is the time for which all instances must have announced a level before it
// takes effect. It exceeds the failure timeout of an instance, so that an instance that is
// briefly unreachable does not change the level twice.
const SettleTime = 3 * time.Second

// Tracker tracks the level that all live instances support. It is not safe for
// concurrent use.
type Tracker struct {
	inForce        uint32
	candidate      uint32        // higher level that all instances support since candidateSince
	candidateSince time.Duration // when candidate was first supported by all
	hasCandidate   bool          // candidate and candidateSince are set
}

// Observe updates the tracker with the levels of all live instances, including this
// one, and reports whether the level in force has changed.
func (t *Tracker) Observe(now time.Duration, all []uint32) bool {
	minimum := slices.Min(all)
	before := t.inForce
	switch {
	case minimum <= t.inForce:
		t.inForce, t.hasCandidate = minimum, false
	case !t.hasCandidate || minimum < t.candidate:
		t.candidate, t.candidateSince, t.hasCandidate = minimum, now, true
	case now-t.candidateSince >= SettleTime:
		t.inForce, t.hasCandidate = t.candidate, false
	}
	return t.inForce != before
}

// InForce returns the level that all live instances support.
func (t *Tracker) InForce() uint32 { return t.inForce }
