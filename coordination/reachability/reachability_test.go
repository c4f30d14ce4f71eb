package reachability

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var engine = func(i int) Replica { return Replica{ID: fmt.Sprint("e", i), Service: "llm"} }

func TestReplicaIsCutUntilTheOwnLinkReachesIt(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.True(tr.RecordCut(0, engine(1), "n2", false))
	is.True(!tr.RecordCut(0, engine(1), "n3", false))
	is.True(tr.IsCut("e1"))
	is.True(!tr.IsCut("e2"))
	is.Equal(tr.CutCount("llm"), 1)
	is.True(tr.RecordReached(time.Second, engine(1)))
	is.True(!tr.IsCut("e1"))
	is.True(!tr.RecordReached(time.Second, engine(1)))
	is.Equal(tr.CutCount("llm"), 0)
}

// Open connections live on over a link that refuses new ones.
func TestOnlySilentCutsMakeOpenConnectionsHang(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordCut(0, engine(1), "n2", true)
	tr.RecordCut(0, engine(2), "n2", false)
	is.True(tr.IsSilentlyCut("e1"))
	is.True(!tr.IsSilentlyCut("e2"))
	tr.RecordCut(0, engine(2), "n2", true)
	is.True(tr.IsSilentlyCut("e2"))
}

// The first replicas of a service cost a head start each, the others none; a single replica
// with a broken link does not take it from the others.
func TestHeadStartEndsWhenSeveralInARowAreCut(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	tr := New(o)
	is.Equal(tr.HeadStart("llm"), o.HeadStart)
	tr.RecordCut(0, engine(1), "n2", true)
	is.Equal(tr.HeadStart("llm"), o.HeadStart)
	tr.RecordReached(0, engine(3))
	tr.RecordCut(0, engine(2), "n2", true)
	is.Equal(tr.HeadStart("llm"), o.HeadStart)
	tr.RecordCut(0, engine(4), "n2", true)
	is.Equal(tr.HeadStart("llm"), time.Duration(0))
	is.Equal(tr.HeadStart("desk"), o.HeadStart)
}

// One replica of a service is tried at an interval, each in turn; once one is reached, the
// others are tried at once.
func TestOneReplicaOfAServiceIsProbedAtATime(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	tr := New(o)
	for i := range 3 {
		tr.RecordCut(time.Duration(i), engine(i), "n2", true)
	}
	tr.RecordCut(0, Replica{ID: "d1", Service: "desk"}, "n2", true)
	is.Equal(len(tr.Probes(0)), 0)
	now := o.ProbeInterval
	is.Equal(tr.Probes(now), []Replica{{ID: "d1", Service: "desk"}, engine(0)})
	is.Equal(len(tr.Probes(now)), 0) // under way
	tr.EndProbe(now, "llm", false)
	is.Equal(len(tr.Probes(now+o.ProbeInterval-1)), 0)
	now += o.ProbeInterval
	is.Equal(tr.Probes(now), []Replica{engine(1)})
	is.True(tr.RecordReached(now, engine(1)))
	tr.EndProbe(now, "llm", true)
	is.Equal(tr.Probes(now), []Replica{engine(2)})
}

func TestPeersAreAskedInTheOrderOfTheirSuccess(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	tr := New(o)
	all := []string{"a", "b", "c"}
	is.Equal(tr.Order(0, "llm", []string{"n1", "n2", "n3"}, []string{"f1"}, 9), []string{"n1", "f1", "n2", "n3"})
	is.Equal(tr.Order(0, "llm", all, nil, 2), []string{"a", "b"})
	tr.RecordPeerFailure(0, "a")
	is.Equal(tr.Order(0, "llm", all, nil, 3), []string{"b", "c", "a"})
	tr.RecordCut(0, engine(1), "c", true)
	is.Equal(tr.Order(0, "llm", all, nil, 3), []string{"c", "b", "a"})
	is.Equal(tr.Order(o.PeerPenalty, "llm", all, nil, 3), []string{"c", "a", "b"})
	tr.RecordPeer("llm", "b")
	is.Equal(tr.LastPeer("llm"), "b")
	is.Equal(tr.LastPeer("desk"), "")
	is.Equal(tr.Order(o.PeerPenalty, "llm", all, nil, 1), []string{"b"})
	is.Equal(len(tr.Order(0, "llm", nil, nil, 3)), 0)
}

func TestUnlistedReplicasAndDeadPeersAreForgotten(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordCut(0, engine(1), "a", true)
	tr.RecordCut(0, engine(2), "a", true)
	tr.RecordPeerFailure(0, "b")
	tr.Keep(func(id string) bool { return id == "e2" })
	is.Equal(tr.CutCount("llm"), 1)
	tr.Forget("e2")
	tr.Forget("e2")
	tr.KeepPeers(func(string) bool { return false })
	is.Equal(len(tr.cut)+len(tr.services)+len(tr.penalizedUntil), 0)
}

// Whatever happens in whatever order, the count of a service is that of its cut replicas, at
// most one probe of a service is under way, and a healed link is tried within an interval.
func TestRandomCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		tr := New(o)
		now := time.Duration(0)
		cut := map[string]bool{}
		lastProbe := map[string]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := Replica{ID: rapid.SampledFrom([]string{"e1", "e2", "e3", "d1"}).Draw(t, "replica"), Service: "llm"}
			if r.ID == "d1" {
				r.Service = "desk"
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				tr.RecordCut(now, r, "p", rapid.Bool().Draw(t, "silent"))
				if !cut[r.ID] && tr.CutCount(r.Service) == 1 {
					lastProbe[r.Service] = now
				}
				cut[r.ID] = true
			case 2:
				tr.RecordReached(now, r)
				delete(cut, r.ID)
			default:
				now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			}
			due := make(map[string]bool)
			for _, s := range []string{"llm", "desk"} {
				n := 0
				for id := range cut {
					if (id == "d1") == (s == "desk") {
						n++
					}
				}
				if tr.CutCount(s) != n {
					t.Fatalf("%s: %d cut, %d counted", s, n, tr.CutCount(s))
				}
				due[s] = n > 0 && now-lastProbe[s] >= o.ProbeInterval
			}
			probed := make(map[string]bool)
			for _, p := range tr.Probes(now) {
				if probed[p.Service] || !cut[p.ID] {
					t.Fatal("a second probe of a service, or of a reached replica")
				}
				probed[p.Service] = true
				tr.EndProbe(now, p.Service, false)
				lastProbe[p.Service] = now
			}
			for s := range due {
				if due[s] && !probed[s] {
					t.Fatal("no probe is due after an interval: ", s)
				}
			}
		}
	})
}

// Ten times the replicas cost ten times the work to heal, and a replica that is cut and
// reached over and over leaves nothing behind.
func TestWorkGrowsWithTheReplicasOnly(t *testing.T) {
	is := is.New(t)
	steps := func(replicas int) (n int) {
		tr := New(DefaultOptions())
		for i := range replicas {
			tr.RecordCut(0, engine(i), "p", true)
		}
		now := DefaultOptions().ProbeInterval
		for {
			before := len(tr.toProbeOf("llm"))
			r, isDue := tr.NextProbe(now, "llm")
			if !isDue {
				return n
			}
			n += before + 1 - len(tr.toProbeOf("llm")) // entries visited, of which one returns to the queue
			tr.RecordReached(now, r)
			tr.EndProbe(now, "llm", true)
		}
	}
	is.Equal(steps(1000), 10*steps(100))
	tr := New(DefaultOptions())
	tr.RecordCut(0, engine(0), "p", true)
	for range 1000 {
		tr.RecordCut(0, engine(1), "p", true)
		tr.RecordReached(0, engine(1))
	}
	is.Equal(len(tr.toProbeOf("llm")), 2)
}

func (t *Tracker) toProbeOf(service string) []string {
	if s := t.services[service]; s != nil {
		return s.toProbe
	}
	return nil
}

// Requests over open connections that break tell of all services whose link is cut.
func TestBrokenOpenConnectionsTellOfTheOthers(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.Equal(len(tr.RecordLostOpen("e1")), 0) // not cut off: the replica may have closed it
	tr.RecordCut(0, engine(1), "p", false)
	tr.RecordCut(0, Replica{ID: "d1", Service: "desk"}, "p", false)
	is.True(!tr.HasLostOpen("e1"))
	is.Equal(tr.RecordLostOpen("e1"), []string{"desk", "llm"})
	is.True(tr.HasLostOpen("d1"))
	tr.RecordReached(0, engine(1))
	tr.RecordReached(0, Replica{ID: "d1", Service: "desk"})
	tr.RecordCut(0, engine(1), "p", false)
	is.True(!tr.HasLostOpen("e1")) // a cut of its own
}
