// Package ending tells what each way in which a send to a replica can end says:
// of the replica, of its version in a roll-out, and of the request.
//
// Who ended it decides. What this instance, the client, a cut or the end of the
// replica's life ended is not the replica's answer, and must not be taken for one.
package ending

import "quinceroad/coordination/health"

// Way is how a send ended.
type Kind int

// The ways.
const (
	Succeeded        Kind = iota // a whole answer that is no failure
	Failed                       // a whole answer that is the replica's own failure
	Refused                      // the replica says that it did not run the request
	MissingInputs                // the replica says that it does not have what the request reads
	WrongReplica                 // another replica has the address
	Unreachable                  // no connection: nothing was sent
	ConnectionBroken             // the connection broke off, or what came was no answer
	ReplicaCrashed               // the same, and the replica takes no connections any more
	ReplicaRestarted             // this instance ended it: the replica has started again
	ResponseTimeout              // this instance ended it: nothing came for too long
	DeadlineExceeded             // this instance ended it: the request's time was over
	ClientGone                   // the client has gone
)

// Version is what an end says of the version of the replica's software.
type VersionEvidence int

// What an end can say of a version.
const (
	VersionNone       VersionEvidence = iota
	VersionAnswer                     // one answer, that took its time
	VersionFailure                    // one failure
	VersionReplicaEnd                 // the replica's life was over under the request
)

// Request is what an end says of the request, which may crash its replicas.
type RequestEvidence int

// What an end can say of a request.
const (
	RequestNone    RequestEvidence = iota
	RequestCleared                 // it got an answer: it did not crash the replica
	RequestBlamed                  // if the replica ends within seconds, or has ended, it may be to blame
	RequestProbe                   // the same, and whether the replica has ended is asked at once
)

// Reading is what an end says to each who reads it.
type Evidence struct {
	Health  *health.Signal // of the replica; nil: nothing
	Version VersionEvidence
	Request RequestEvidence
}

func sign(s health.Signal) *health.Signal { return &s }

var readings = map[Kind]Evidence{
	Succeeded:        {Health: sign(health.Success), Version: VersionAnswer, Request: RequestCleared},
	Failed:           {Health: sign(health.Failure), Version: VersionFailure, Request: RequestCleared},
	Refused:          {Health: sign(health.Full)},
	MissingInputs:    {},
	WrongReplica:     {},
	Unreachable:      {Health: sign(health.Unreachable)},
	ConnectionBroken: {Health: sign(health.Broken), Version: VersionFailure, Request: RequestProbe},
	ReplicaCrashed:   {Health: sign(health.Broken), Version: VersionReplicaEnd, Request: RequestBlamed},
	ReplicaRestarted: {Version: VersionReplicaEnd, Request: RequestBlamed},
	ResponseTimeout:  {Health: sign(health.Timeout), Version: VersionFailure, Request: RequestBlamed},
	DeadlineExceeded: {Version: VersionAnswer, Request: RequestBlamed},
	ClientGone:       {Request: RequestBlamed},
}

// Reading returns what an end in this way says.
func (w Kind) Evidence() Evidence { return readings[w] }

// OfVersion returns what an end says of a version where this instance's machine was
// suspended meanwhile: the time that an answer took is not known then.
func (w Kind) ForVersion(suspended bool) VersionEvidence {
	v := readings[w].Version
	if v == VersionAnswer && suspended {
		return VersionNone
	}
	return v
}
