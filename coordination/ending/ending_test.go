package ending

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/health"
)

// Each way in which a send can end, by who ended it, and what its readers make of it.
func TestWhatAnEndSays(t *testing.T) {
	const none = health.Sign(-1)
	cases := map[string]struct {
		way     Way
		health  health.Sign
		version Version
		request Request
	}{
		"the replica: a whole answer":                         {Whole, health.Good, Answer, Harmless},
		"the replica: its own failure":                        {OwnFailure, health.Failure, Failure, Harmless},
		"the replica: turned away":                            {TurnedAway, health.Full, Nothing, Unsaid},
		"the replica: inputs gone":                            {NoInputs, none, Nothing, Unsaid},
		"another replica at its address":                      {Stranger, none, Nothing, Unsaid},
		"the link: no connection":                             {Unreached, health.Unreachable, Nothing, Unsaid},
		"the replica or the link: broken off":                 {BrokeOff, health.Broken, Failure, Look},
		"the replica: broken off by its end":                  {Crashed, health.Broken, EndOfLife, Blamed},
		"this instance, as the next life is told":             {LifeOver, none, EndOfLife, Blamed},
		"this instance, for the silence":                      {Silent, health.Silent, Failure, Blamed},
		"this instance, as the time is over: as slow as long": {TimeUp, none, Answer, Blamed},
		"the client: gone":                                    {Left, none, Nothing, Blamed},
	}
	seen := make(map[Way]bool)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seen[c.way] = true
			got := c.way.Reading()
			is.Equal(got.Health == nil, c.health == none)
			if got.Health != nil {
				is.Equal(*got.Health, c.health)
			}
			is.Equal(got.Version, c.version)
			is.Equal(got.Request, c.request)
		})
	}
	is.New(t).Equal(len(seen), len(readings)) // no way without its row
}

// An instance that was suspended does not know how long an answer took; a failure is
// one all the same.
func TestASuspensionIsNoAnswersTime(t *testing.T) {
	is := is.New(t)
	for way := range readings {
		want := way.Reading().Version
		if want == Answer {
			want = Nothing
		}
		is.Equal(way.OfVersion(true), want)
		is.Equal(way.OfVersion(false), way.Reading().Version)
	}
}
