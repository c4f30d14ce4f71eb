package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"quinceroad/coordination/membership"
	"quinceroad/coordination/rendezvous"
	"quinceroad/coordination/replicas"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/protocol/settings"
	"quinceroad/state/fleet"
)

// view is an immutable snapshot of the configuration, members and replicas as received
// from the coord. Every update replaces it as a whole.
type view struct {
	revision   uint64
	fleet      *fleet.Fleet
	pipelines  map[string]*fleet.Pipeline
	customers  map[string]*fleet.Customer // by digest of their key
	members    []membership.Member
	replicas   map[string]replicas.Replica
	slotOwners map[string]string // service -> coord address of the owner of its slots
	// liveCount is the number of instances that are alive and not draining, at least 1.
	// Customers' rates are divided among them.
	liveCount int

	limitOwners [limitOwnerCount]string // coord addresses of the owners of customers' rate limits
}

func (v *view) addressTTL() time.Duration {
	return time.Duration(v.fleet.AddressTTLSeconds) * time.Second
}

const (
	watchTimeout       = 3 * time.Second // the coord sends a message every second
	watchRetryInterval = 300 * time.Millisecond
)

// watchLoop receives updates of the view from the coord and reconnects after errors.
// Meanwhile the last view stays in use.
func (e *Entry) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errReopenWatch) {
			continue
		}
		if err != nil && e.viewErr.Swap(&err) == nil {
			event.CoordUnreachable.Log(e.log, "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval/2 + time.Duration(rand.Int64N(int64(watchRetryInterval)))):
		}
	}
}

// errReopenWatch ends a watch stream because this entry's registration has changed: the
// first message of the next stream carries the new one.
var errReopenWatch = errors.New("entry: registration changed, watch stream has to be reopened")

// watch opens one watch stream and applies its updates until it fails.
func (e *Entry) watch(ctx context.Context) error {
	request := e.watchRequest()
	s, err := e.links.Open(e.settings.Coord.Link, frame.Watch, request)
	if err != nil {
		return err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	for {
		var m pb.View
		if err := s.SetReadDeadline(time.Now().Add(watchTimeout)); err != nil {
			return err
		}
		if err := frame.Read(s, &m); err != nil {
			return err
		}
		e.viewErr.Store(nil)
		e.applyView(&m)
		if m.GetReach() != pb.View_UNSAID {
			e.coordIsolated.Store(m.GetReach() == pb.View_ALONE)
		}
		if request.GetEntryHttp() == "" && e.hasFleet() {
			return errReopenWatch
		}
		if m.GetDrain() && !e.draining.Swap(true) {
			event.EntryDrained.Log(e.log)
			return errReopenWatch
		}
		select {
		case <-e.watchChanged:
			return errReopenWatch
		default:
		}
	}
}

func (e *Entry) hasFleet() bool {
	v := e.view.Load()
	return v != nil && v.fleet != nil
}

// watchRequest returns the first message of a watch stream, which registers this entry
// with the coord. The address for clients is left out until there is a configuration:
// before that the entry would refuse every client.
func (e *Entry) watchRequest() *pb.Watch {
	http := ""
	if e.hasFleet() {
		http = e.settings.Entry.HTTP
	}
	e.ledgerMu.Lock()
	succeeds := append([]uint64(nil), e.adoptedIncarnations...)
	e.ledgerMu.Unlock()
	return &pb.Watch{
		EntryIncarnation: e.incarnation,
		EntryHttp:        http,
		EntryLink:        e.settings.Entry.AdvertisedLink,
		Succeeds:         succeeds,
		Leaving:          e.draining.Load(),
	}
}

const announceTimeout = time.Second

// announceToCoord sends the changed registration of this entry to the coord without
// delay.
func (e *Entry) announceToCoord() {
	select {
	case e.watchChanged <- struct{}{}:
	default:
	}
	// A short-lived watch registers it now; watchLoop reopens its stream later.
	s, err := e.links.Open(e.settings.Coord.Link, frame.Watch, e.watchRequest())
	if err != nil {
		return // the coord is down; peers detect that by its missing heartbeats
	}
	defer s.Close()
	var first pb.View
	_ = s.SetReadDeadline(time.Now().Add(announceTimeout))
	_ = frame.Read(s, &first) // the coord responds after it has recorded the registration
}

// applyView derives the next view from the current one and an update.
func (e *Entry) applyView(m *pb.View) {
	next := view{}
	if last := e.view.Load(); last != nil {
		next = *last
	}
	changed := false
	if c := m.GetConfig(); c != nil {
		changed = e.applyConfig(&next, c) || changed
	}
	if ms := m.GetMembers(); ms != nil {
		next.members = convert.FromMembers(ms.GetMembers())
		changed = true
	}
	if rs := m.GetReplicas(); rs != nil {
		next.replicas = make(map[string]replicas.Replica)
		addrs := make(map[string]bool)
		for _, r := range convert.FromReplicas(rs.GetReplicas()) {
			next.replicas[r.ID] = r
			addrs[r.Address] = true
		}
		e.upstreams.CloseIdleExcept(func(address string) bool { return addrs[address] })
		changed = true
	}
	if changed {
		next.assignOwners()
		e.view.Store(&next)
		e.slots.configure(&next)
	}
}

// applyConfig stores a newer configuration in the view and rejects an older one.
func (e *Entry) applyConfig(v *view, c *pb.Config) bool {
	if c.GetRevision() <= v.revision {
		if c.GetRevision() < v.revision {
			event.EntryConfigRefused.Log(e.log, "revision", c.GetRevision(), "error", "older than the one in force")
		}
		return false
	}
	f, err := settings.LoadPacked(c.GetDeclaration())
	if err != nil {
		event.EntryConfigRefused.Log(e.log, "revision", c.GetRevision(), "error", err.Error())
		return false
	}
	v.revision, v.fleet = c.GetRevision(), f
	v.pipelines = make(map[string]*fleet.Pipeline)
	for i := range f.Pipelines {
		v.pipelines[f.Pipelines[i].Name] = &f.Pipelines[i]
	}
	v.customers = make(map[string]*fleet.Customer)
	for i := range f.Customers {
		v.customers[f.Customers[i].KeySHA256] = &f.Customers[i]
	}
	event.EntryConfigAdopted.Log(e.log, "revision", v.revision)
	return true
}

// assignOwners selects the owner of each service's slots among the live members.
func (v *view) assignOwners() {
	links := make(map[string]string)
	var names []string
	for _, m := range v.members {
		if m.State == membership.Alive && !m.Leaving {
			names = append(names, m.Name)
			links[m.Name] = m.CoordAddress
		}
	}
	v.liveCount = max(len(names), 1)
	v.assignLimitOwners(names, links)
	v.slotOwners = make(map[string]string)
	if v.fleet == nil {
		return
	}
	for _, s := range v.fleet.Services {
		v.slotOwners[s.Name] = links[rendezvous.Owner("slots/"+s.Name, names)]
	}
}

// ledgerOwner returns the member whose entry may start the numbers issued by that entry
// incarnation. The successor takes precedence, since the stopped entry may still be
// listed.
func (v *view) ledgerOwner(incarnation uint64) (membership.Member, bool) {
	for _, m := range v.members {
		if slices.Contains(m.AdoptedIncarnations, incarnation) {
			return m, true
		}
	}
	for _, m := range v.members {
		if m.EntryIncarnation == incarnation {
			return m, true
		}
	}
	return membership.Member{}, false
}
