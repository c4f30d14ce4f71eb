// Package ending tells what each way in which a send to a replica can end says:
// of the replica, of its version in a roll-out, and of the request.
//
// Who ended it decides. What this instance, the client, a cut or the end of the
// replica's life ended is not the replica's answer, and must not be taken for one.
package ending

import "quinceroad/coordination/health"

// Way is how a send ended.
type Way int

// The ways.
const (
	Whole      Way = iota // a whole answer that is no failure
	OwnFailure            // a whole answer that is the replica's own failure
	TurnedAway            // the replica says that it did not run the request
	NoInputs              // the replica says that it does not have what the request reads
	Stranger              // another replica has the address
	Unreached             // no connection: nothing was sent
	BrokeOff              // the connection broke off, or what came was no answer
	Crashed               // the same, and the replica takes no connections any more
	LifeOver              // this instance ended it: the replica has started again
	Silent                // this instance ended it: nothing came for too long
	TimeUp                // this instance ended it: the request's time was over
	Left                  // the client has gone
)

// Version is what an end says of the version of the replica's software.
type Version int

// What an end can say of a version.
const (
	Nothing   Version = iota
	Answer            // one answer, that took its time
	Failure           // one failure
	EndOfLife         // the replica's life was over under the request
)

// Request is what an end says of the request, which may crash its replicas.
type Request int

// What an end can say of a request.
const (
	Unsaid   Request = iota
	Harmless         // it got an answer: it did not crash the replica
	Blamed           // if the replica ends within seconds, or has ended, it may be to blame
	Look             // the same, and whether the replica has ended is asked at once
)

// Reading is what an end says to each who reads it.
type Reading struct {
	Health  *health.Sign // of the replica; nil: nothing
	Version Version
	Request Request
}

func sign(s health.Sign) *health.Sign { return &s }

var readings = map[Way]Reading{
	Whole:      {Health: sign(health.Good), Version: Answer, Request: Harmless},
	OwnFailure: {Health: sign(health.Failure), Version: Failure, Request: Harmless},
	TurnedAway: {Health: sign(health.Full)},
	NoInputs:   {},
	Stranger:   {},
	Unreached:  {Health: sign(health.Unreachable)},
	BrokeOff:   {Health: sign(health.Broken), Version: Failure, Request: Look},
	Crashed:    {Health: sign(health.Broken), Version: EndOfLife, Request: Blamed},
	LifeOver:   {Version: EndOfLife, Request: Blamed},
	Silent:     {Health: sign(health.Silent), Version: Failure, Request: Blamed},
	TimeUp:     {Version: Answer, Request: Blamed},
	Left:       {Request: Blamed},
}

// Reading returns what an end in this way says.
func (w Way) Reading() Reading { return readings[w] }

// OfVersion returns what an end says of a version where this instance's machine was
// suspended meanwhile: the time that an answer took is not known then.
func (w Way) OfVersion(suspended bool) Version {
	v := readings[w].Version
	if v == Answer && suspended {
		return Nothing
	}
	return v
}
