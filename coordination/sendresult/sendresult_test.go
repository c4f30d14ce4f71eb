package sendresult

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/health"
)

// Covers each kind of end, by who ended the attempt, and the evidence it yields.
func TestEvidenceOfEachKind(t *testing.T) {
	const none = health.Signal(-1)
	cases := map[string]struct {
		kind    Kind
		health  health.Signal
		version VersionEvidence
		request RequestEvidence
	}{
		"the replica: a complete answer":             {Succeeded, health.Success, VersionAnswer, RequestCleared},
		"the replica: its own failure":               {Failed, health.Failure, VersionFailure, RequestCleared},
		"the replica: refused":                       {Refused, health.Full, VersionNone, RequestNone},
		"the replica: inputs missing":                {MissingInputs, none, VersionNone, RequestNone},
		"another replica at its address":             {WrongReplica, none, VersionNone, RequestNone},
		"the link: no connection":                    {Unreachable, health.Unreachable, VersionNone, RequestNone},
		"the replica or the link: connection broken": {ConnectionBroken, health.Broken, VersionFailure, RequestProbe},
		"the replica: connection broken by its end":  {ReplicaCrashed, health.Broken, VersionReplicaEnd, RequestBlamed},
		"this instance: the replica has restarted":   {ReplicaRestarted, none, VersionReplicaEnd, RequestBlamed},
		"this instance: no data for too long":        {ResponseTimeout, health.Timeout, VersionFailure, RequestBlamed},
		"this instance: deadline exceeded":           {DeadlineExceeded, none, VersionAnswer, RequestBlamed},
		"the client: connection closed":              {ClientGone, none, VersionNone, RequestBlamed},
		"the link: cut, the replica is sound":        {LinkLost, none, VersionNone, RequestBlamed},
		"nobody knows: the answer may be a part":     {EndDoubtful, none, VersionNone, RequestBlamed},
	}
	seen := make(map[Kind]bool)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seen[c.kind] = true
			got := c.kind.Evidence()
			is.Equal(got.Health == nil, c.health == none)
			if got.Health != nil {
				is.Equal(*got.Health, c.health)
			}
			is.Equal(got.Version, c.version)
			is.Equal(got.Request, c.request)
		})
	}
	is.New(t).Equal(len(seen), len(evidence)) // each kind has a case
}

// An instance that was suspended during an attempt does not know how long the answer
// took; a failure still counts.
func TestSuspensionHidesResponseTime(t *testing.T) {
	is := is.New(t)
	for kind := range evidence {
		want := kind.Evidence().Version
		if want == VersionAnswer {
			want = VersionNone
		}
		is.Equal(kind.ForVersion(true), want)
		is.Equal(kind.ForVersion(false), kind.Evidence().Version)
	}
}
