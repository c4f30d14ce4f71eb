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
		serveCall(first, s, &pb.Beat{}, c.serveHeartbeat)
	case frame.PullConfig:
		serveCall(first, s, &pb.PullConfig{}, c.servePullConfig)
	case frame.PullMembers:
		serveCall(first, s, &pb.PullMembers{}, c.servePullMembers)
	case frame.DrainingReplicas:
		serveCall(first, s, &pb.Beat{}, func(b *pb.Beat) *pb.Noted {
			c.mergeLeaving(b.GetLeaving(), "entry")
			return &pb.Noted{}
		})
	case frame.Drain:
		serveCall(first, s, &pb.Noted{}, func(*pb.Noted) *pb.Noted {
			c.drain()
			return &pb.Noted{}
		})
	case frame.Limits:
		serveCall(first, s, &pb.Demands{}, c.limits.serve)
	case frame.Watch:
		var w pb.Watch
		if proto.Unmarshal(first, &w) == nil {
			c.serveWatch(&w, s)
		}
	case frame.Permits:
		c.slotOwner.serve(s)
	}
}

// serveCall decodes a request, calls f, and sends its reply. A request that can't be
// decoded gets no reply.
func serveCall[Q, R proto.Message](first []byte, s net.Conn, q Q, f func(Q) R) {
	if proto.Unmarshal(first, q) == nil {
		_ = frame.Write(s, frame.Reply, f(q)) // a peer whose connection failed retries
	}
}

// updateEntry records the state that the local entry reports of itself.
func (c *Coord) updateEntry(w *pb.Watch) {
	c.membersMu.RLock()
	self := c.view.Self()
	c.membersMu.RUnlock()
	unchanged := self.EntryIncarnation == w.GetEntryIncarnation() && self.Leaving == w.GetLeaving() &&
		self.EntryHTTPAddress == w.GetEntryHttp() &&
		slices.Equal(self.AdoptedIncarnations, w.GetSucceeds())
	if unchanged {
		return
	}
	c.updateSelf(func(m *membership.Member) {
		m.EntryIncarnation = w.GetEntryIncarnation()
		m.EntryHTTPAddress, m.EntryPeerAddress = w.GetEntryHttp(), w.GetEntryLink()
		m.AdoptedIncarnations, m.Leaving = w.GetSucceeds(), w.GetLeaving()
	})
}
