// Package sendresult classifies how an attempt to send a request to a replica ended, and
// what each kind of end is evidence of: for the replica's health, for its version in a
// rollout, and for the request.
//
// The classification depends on who ended the attempt. An attempt ended by this
// instance, the client, a broken connection or the end of the replica's incarnation
// has no answer of the replica and must not be treated as one.
package sendresult

import "quinceroad/coordination/health"

// Kind is how an attempt ended.
type Kind int

// The kinds of end.
const (
	Succeeded        Kind = iota // a complete answer that is not a failure
	Failed                       // a complete answer that reports a failure of the replica itself
	Refused                      // the replica reports that it did not run the request
	MissingInputs                // the replica reports that it lacks the request's inputs
	WrongReplica                 // another replica answered at the address
	Unreachable                  // no connection, nothing was sent
	ConnectionBroken             // the connection broke, or the answer was invalid
	ReplicaCrashed               // the same, and the replica accepts no more connections
	ReplicaRestarted             // ended by this instance: the replica has restarted
	ResponseTimeout              // ended by this instance: no data for too long
	DeadlineExceeded             // ended by this instance: the request's deadline passed
	ClientGone                   // the client closed its connection
	LinkLost                     // no answer can arrive: this instance is cut off from a sound replica
	EndDoubtful                  // nobody could tell whether the answer is complete, or whether it is the request's own
)

// VersionEvidence is what an end means for the version of the replica's software.
type VersionEvidence int

// The kinds of evidence about a version.
const (
	VersionNone       VersionEvidence = iota
	VersionAnswer                     // one answer with its response time
	VersionFailure                    // one failure
	VersionReplicaEnd                 // the replica's incarnation ended during the request
)

// RequestEvidence is what an end means for the request, which may crash its replicas.
type RequestEvidence int

// The kinds of evidence about a request.
const (
	RequestNone    RequestEvidence = iota
	RequestCleared                 // it got an answer, so it did not crash the replica
	RequestBlamed                  // it may be the cause if the replica has ended or ends within seconds
	RequestProbe                   // the same, and the replica is probed at once to find out whether it has ended
)

// Evidence is what an end means for the replica's health, its version and the request.
type Evidence struct {
	Health  *health.Signal // nil: no evidence about the replica's health
	Version VersionEvidence
	Request RequestEvidence
}

func signal(s health.Signal) *health.Signal { return &s }

var evidence = map[Kind]Evidence{
	Succeeded:        {Health: signal(health.Success), Version: VersionAnswer, Request: RequestCleared},
	Failed:           {Health: signal(health.Failure), Version: VersionFailure, Request: RequestCleared},
	Refused:          {Health: signal(health.Full)},
	MissingInputs:    {},
	WrongReplica:     {},
	Unreachable:      {Health: signal(health.Unreachable)},
	ConnectionBroken: {Health: signal(health.Broken), Version: VersionFailure, Request: RequestProbe},
	ReplicaCrashed:   {Health: signal(health.Broken), Version: VersionReplicaEnd, Request: RequestBlamed},
	ReplicaRestarted: {Version: VersionReplicaEnd, Request: RequestBlamed},
	ResponseTimeout:  {Health: signal(health.Timeout), Version: VersionFailure, Request: RequestBlamed},
	DeadlineExceeded: {Version: VersionAnswer, Request: RequestBlamed},
	ClientGone:       {Request: RequestBlamed},
	LinkLost:         {Request: RequestBlamed},
	EndDoubtful:      {Request: RequestBlamed},
}

// Evidence returns what an end of this kind means.
func (k Kind) Evidence() Evidence { return evidence[k] }

// ForVersion returns what an end means for the version. If this instance was suspended
// during the attempt the response time is unknown, so an answer is no evidence.
func (k Kind) ForVersion(suspended bool) VersionEvidence {
	v := evidence[k].Version
	if v == VersionAnswer && suspended {
		return VersionNone
	}
	return v
}
