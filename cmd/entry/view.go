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

// view is what the entry knows of the fleet; it is never changed, only exchanged.
type view struct {
	revision  uint64
	fleet     *fleet.Fleet
	pipelines map[string]*fleet.Pipeline
	customers map[string]*fleet.Customer // by key digest
	members   []membership.Member
	replicas  map[string]replicas.Replica
	owners    map[string]string // service -> coord link of its slots' owner
	live      int               // instances that share customers' limits

	limitOwners [limitOwners]string // coord links of the owners of customers' budgets
}

func (v *view) lifetime() time.Duration {
	return time.Duration(v.fleet.AddressTTLSeconds) * time.Second
}

const (
	watchSilence = 3 * time.Second // the coord sends something every second
	watchRetry   = 300 * time.Millisecond
)

// watchLoop follows the coord's views; while it can't, the last view stays.
func (e *Entry) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errAgain) {
			continue
		}
		if err != nil && e.viewErr.Swap(&err) == nil {
			event.CoordUnreachable.Log(e.log, "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry/2 + time.Duration(rand.Int64N(int64(watchRetry)))):
		}
	}
}

// errAgain ends a stream because what the coord should know of this entry has
// changed: it hears so by the next stream's first message.
var errAgain = errors.New("entry: introduce it again")

// watch reads one stream of views until it breaks.
func (e *Entry) watch(ctx context.Context) error {
	me := e.introduce()
	s, err := e.links.Open(e.set.Coord.Link, frame.Watch, me)
	if err != nil {
		return err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	for {
		var m pb.View
		if err := s.SetReadDeadline(time.Now().Add(watchSilence)); err != nil {
			return err
		}
		if err := frame.Read(s, &m); err != nil {
			return err
		}
		e.viewErr.Store(nil)
		e.takeView(&m)
		if m.GetReach() != pb.View_UNSAID {
			e.alone.Store(m.GetReach() == pb.View_ALONE)
		}
		if me.GetEntryHttp() == "" && e.hasFleet() {
			return errAgain
		}
		if m.GetDrain() && !e.leaving.Swap(true) {
			event.EntryDrained.Log(e.log)
			return errAgain
		}
		select {
		case <-e.rewatch:
			return errAgain
		default:
		}
	}
}

func (e *Entry) hasFleet() bool {
	v := e.view.Load()
	return v != nil && v.fleet != nil
}

// introduce tells the coord who this entry is. Callers' address is told only
// once there is a configuration: before that every caller would be refused.
func (e *Entry) introduce() *pb.Watch {
	http := ""
	if e.hasFleet() {
		http = e.set.Entry.HTTP
	}
	e.ledgerMu.Lock()
	succeeds := append([]uint64(nil), e.succeeds...)
	e.ledgerMu.Unlock()
	return &pb.Watch{
		EntryIncarnation: e.incarnation,
		EntryHttp:        http,
		EntryLink:        e.set.Entry.AdvertisedLink,
		Succeeds:         succeeds,
		Leaving:          e.leaving.Load(),
	}
}

const tellTimeout = time.Second

// tellCoord makes the coord hear at once what has changed about this entry.
func (e *Entry) tellCoord() {
	select {
	case e.rewatch <- struct{}{}:
	default:
	}
	// A short call of the same kind tells it now; the stream follows.
	s, err := e.links.Open(e.set.Coord.Link, frame.Watch, e.introduce())
	if err != nil {
		return // the coord is down; peers hear of it from its silence
	}
	defer s.Close()
	var first pb.View
	_ = s.SetReadDeadline(time.Now().Add(tellTimeout))
	_ = frame.Read(s, &first) // answered once it is noted
}

// takeView makes the next view from the last and what has changed.
func (e *Entry) takeView(m *pb.View) {
	next := view{}
	if last := e.view.Load(); last != nil {
		next = *last
	}
	changed := false
	if c := m.GetConfig(); c != nil {
		changed = e.takeConfig(&next, c) || changed
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
		e.upstreams.CloseIdleExcept(addrs)
		changed = true
	}
	if changed {
		next.assign()
		e.view.Store(&next)
		e.slots.configure(&next)
	}
}

// takeConfig puts a newer configuration into the view; an older one is refused.
func (e *Entry) takeConfig(v *view, c *pb.Config) bool {
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

// assign works out the owner of each service's slots among the live members.
func (v *view) assign() {
	links := make(map[string]string)
	var names []string
	for _, m := range v.members {
		if m.State == membership.Alive && !m.Leaving {
			names = append(names, m.Name)
			links[m.Name] = m.CoordAddress
		}
	}
	v.live = max(len(names), 1)
	v.assignLimits(names, links)
	v.owners = make(map[string]string)
	if v.fleet == nil {
		return
	}
	for _, s := range v.fleet.Services {
		v.owners[s.Name] = links[rendezvous.Owner("slots/"+s.Name, names)]
	}
}

// memberOf returns the member whose entry may start that incarnation's
// numbers: its heir if there is one, since the home may still be listed.
func (v *view) memberOf(incarnation uint64) (membership.Member, bool) {
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
