package coord

import (
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/protocol/convert"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	watcherBuffer          = 64          // views that a slow watcher may lag behind before its stream is closed
	watchHeartbeatInterval = time.Second // interval of empty views, which confirm that nothing changed
)

// watchers are the streams that views are sent on: the local entry's and, at a hall's
// reader, those of the other coords.
type watchers struct {
	mu       sync.Mutex // table.RankSessions
	channels map[chan *pb.View]struct{}
}

func newWatchers() *watchers { return &watchers{channels: make(map[chan *pb.View]struct{})} }

// send sends a change to all watchers. The stream of one that can't keep up is closed;
// it gets the full view when it reconnects.
func (w *watchers) send(v *pb.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ch := range w.channels {
		select {
		case ch <- v:
		default:
			delete(w.channels, ch)
			close(ch)
		}
	}
}

func (w *watchers) add() chan *pb.View {
	ch := make(chan *pb.View, watcherBuffer)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.channels[ch] = struct{}{}
	return ch
}

func (w *watchers) remove(ch chan *pb.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.channels[ch]; ok {
		delete(w.channels, ch)
		close(ch)
	}
}

func (w *watchers) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.channels)
}

// serveWatch sends the full view, then the changes. A watcher that names an entry's
// incarnation is this instance's own entry.
func (c *Coord) serveWatch(w *pb.Watch, s net.Conn) {
	if w.GetEntryIncarnation() != 0 {
		c.updateEntry(w)
	}
	ch := c.watchers.add()
	defer c.watchers.remove(ch)
	if frame.Write(s, frame.Reply, c.fullView()) != nil {
		return
	}
	heartbeat := time.NewTicker(watchHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		var v proto.Message = &pb.View{Reach: c.reachability()}
		select {
		case change, ok := <-ch:
			if !ok {
				return
			}
			v = change
		case <-heartbeat.C:
		}
		if frame.Write(s, frame.Reply, v) != nil {
			return
		}
	}
}

func (c *Coord) fullView() *pb.View {
	rev, f := c.config()
	v := &pb.View{
		Self:    c.settings.Name,
		Reach:   c.reachability(),
		Members: &pb.Members{Members: convert.Members(c.members())},
	}
	if c.hasList() {
		v.Replicas = &pb.Replicas{Replicas: convert.Replicas(c.allReplicas())}
	}
	if f != nil {
		v.Config = convert.Config(rev)
	}
	return v
}
