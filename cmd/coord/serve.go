package coord

import (
	"net"
	"slices"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/membership"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// serveLink serves one stream of a peer or of the local entry.
func (c *Coord) serveLink(k frame.Kind, first []byte, s net.Conn) {
	switch k {
	case frame.Beat:
		answer(first, s, &pb.Beat{}, c.serveBeat)
	case frame.PullConfig:
		answer(first, s, &pb.PullConfig{}, c.servePullConfig)
	case frame.PullMembers:
		answer(first, s, &pb.PullMembers{}, c.servePullMembers)
	case frame.DrainingReplicas:
		answer(first, s, &pb.Beat{}, func(b *pb.Beat) *pb.Noted {
			c.mergeLeaving(b.GetLeaving(), "entry")
			return &pb.Noted{}
		})
	case frame.Drain:
		answer(first, s, &pb.Noted{}, func(*pb.Noted) *pb.Noted {
			c.drain()
			return &pb.Noted{}
		})
	case frame.Limits:
		answer(first, s, &pb.Demands{}, c.limits.serve)
	case frame.Watch:
		var w pb.Watch
		if proto.Unmarshal(first, &w) == nil {
			c.serveWatch(&w, s)
		}
	case frame.Permits:
		c.owner.serve(s)
	}
}

// answer reads a request, calls f, and sends what it returns. What can't be
// read is not answered.
func answer[Q, R proto.Message](first []byte, s net.Conn, q Q, f func(Q) R) {
	if proto.Unmarshal(first, q) == nil {
		_ = frame.Write(s, frame.Reply, f(q)) // a peer that is gone asks again
	}
}

// takeEntry notes what the local entry says of itself.
func (c *Coord) takeEntry(w *pb.Watch) {
	c.membersMu.RLock()
	me := c.view.Self()
	c.membersMu.RUnlock()
	same := me.EntryIncarnation == w.GetEntryIncarnation() && me.Leaving == w.GetLeaving() &&
		me.EntryHTTPAddress == w.GetEntryHttp() &&
		slices.Equal(me.AdoptedIncarnations, w.GetSucceeds())
	if same {
		return
	}
	c.updateSelf(func(m *membership.Member) {
		m.EntryIncarnation = w.GetEntryIncarnation()
		m.EntryHTTPAddress, m.EntryPeerAddress = w.GetEntryHttp(), w.GetEntryLink()
		m.AdoptedIncarnations, m.Leaving = w.GetSucceeds(), w.GetLeaving()
	})
}
