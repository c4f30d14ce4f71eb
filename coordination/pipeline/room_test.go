package pipeline

import (
	"testing"
	"time"
)

// mostGivenUp is the share of the requests that may be admitted and then given up:
// what is known not to be servable is refused at once.
const mostGivenUp = 0.02

// Results lie in their makers' room until the request has read them. Where that
// takes long, the room and not the replicas' time bounds what a pool can do, and
// whoever is let in beyond it waits until it is late and has had work done for
// nothing.
func TestRoomForResultsBoundsWhatIsLetIn(t *testing.T) {
	for name, l := range map[string]floodLoad{
		"read within a second":       {reads: time.Second, scale: 1.6},
		"read within two":            {reads: 2 * time.Second, scale: 1.2},
		"a burst, read within 1.2 s": {reads: 1200 * ms, scale: 0.8, floods: []flood{{customer: 0, times: 3.5, from: 6 * time.Second, to: 12 * time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			l.customers, l.replicas, l.seed, l.nameless = 1, 6, 1, true
			asked, givenUp, inTime := 0, 0, 0
			for _, k := range kinds() {
				c := l.play().of(0, k.name)
				t.Logf("%s: %d asked, %d in time, %d late, %d refused, %d given up", k.name, c.asked, c.inTime, c.late, c.refused, c.givenUp)
				asked += c.asked
				givenUp += c.givenUp
				inTime += c.inTime
			}
			if float64(givenUp) > mostGivenUp*float64(asked) {
				t.Errorf("%d of %d are given up after they were let in; %d in time", givenUp, asked, inTime)
			}
		})
	}
}
