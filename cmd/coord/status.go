package coord

import (
	"math"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"quinceroad/coordination/membership"
	"quinceroad/protocol/api"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/fleet"
)

const (
	statusConcurrency = 16          // coords queried at a time for a status
	statusTimeout     = time.Second // of a call to another coord
)

// status returns this coord's view of the fleet, with the revision that each instance
// reports to be in force.
func (c *Coord) status() api.Status {
	rev, _ := c.config()
	s := api.Status{Instance: c.settings.Name, Revision: rev.Revision, Plan: rev.PlanID}
	members := c.members()
	revisions := c.fetchRevisions(members)
	for i, m := range members {
		s.Instances = append(s.Instances, api.InstanceStatus{
			Name: m.Name, Hall: m.Hall, State: stateName(m.State), Leaving: m.Leaving,
			Incarnation: strconv.FormatUint(m.Incarnation, 16), Entry: m.EntryHTTPAddress, Revision: revisions[i],
		})
	}
	for _, r := range c.allReplicas() {
		s.Replicas = append(s.Replicas, api.ReplicaStatus{ID: r.ID, Service: r.Service, Hall: r.Hall, Leaving: r.Leaving})
	}
	return s
}

// fetchRevisions returns the revision of each member's coord, 0 without an answer.
func (c *Coord) fetchRevisions(members []membership.Member) []uint64 {
	out := make([]uint64, len(members))
	var g errgroup.Group
	g.SetLimit(statusConcurrency)
	for i, m := range members {
		if m.State == membership.Dead {
			continue
		}
		g.Go(func() error {
			var r pb.Config
			if c.links.Call(m.CoordAddress, frame.PullConfig, &pb.PullConfig{Have: math.MaxUint64}, &r, statusTimeout) == nil {
				out[i] = r.GetRevision()
			}
			return nil
		})
	}
	_ = g.Wait() // the calls return no errors
	return out
}

func stateName(s membership.State) string { return [...]string{"alive", "suspect", "dead"}[s] }

// drain makes this instance's entry accept no new callers until it is restarted: peers
// skip it, and address answers omit it.
func (c *Coord) drain() { c.watchers.send(&pb.View{Drain: true}) }

// drainInstance asks an instance to drain. It returns false if the instance is unknown or doesn't answer.
func (c *Coord) drainInstance(name string) bool {
	c.membersMu.RLock()
	m, ok := c.view.Get(name)
	c.membersMu.RUnlock()
	return ok && c.links.Call(m.CoordAddress, frame.Drain, &pb.Noted{}, &pb.Noted{}, statusTimeout) == nil
}

// dump is the body of the coord's state dump. It contains no secrets.
type dump struct {
	Status   api.Status   `json:"status"`
	Fleet    *fleet.Fleet `json:"fleet"`
	Slots    any          `json:"slots"`
	Watchers int          `json:"watchers"`
	Links    int          `json:"links"`
	ListAge  string       `json:"list_age"`
	Readers  readers      `json:"readers"`
}

// readers names the instances that read the platform for this hall.
type readers struct {
	Config string `json:"config"`
	List   string `json:"list"`
}

func (c *Coord) state() any {
	_, f := c.config()
	if f != nil {
		redacted := *f
		redacted.Customers = nil // they contain digests of keys
		f = &redacted
	}
	return dump{
		Status: c.status(), Fleet: f, Slots: c.slots.Stats(), Watchers: c.watchers.len(),
		Links: c.links.Len(), ListAge: c.listAge().String(),
		Readers: readers{Config: c.readerOf("config"), List: c.readerOf("list")},
	}
}
