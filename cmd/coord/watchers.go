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
	watchBuffer = 64          // views a slow watcher may be behind before it is cut
	watchBeat   = time.Second // an empty view when nothing changed, so that a watcher knows it is current
)

// watchers are the streams on which views go out: the local entry's and, at a
// hall's reader, other coords'.
type watchers struct {
	mu  sync.Mutex // table.RankSessions
	out map[chan *pb.View]struct{}
}

func newWatchers() *watchers { return &watchers{out: make(map[chan *pb.View]struct{})} }

// send passes a change to all watchers; one that can't keep up is cut, and
// gets everything anew when it returns.
func (w *watchers) send(v *pb.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ch := range w.out {
		select {
		case ch <- v:
		default:
			delete(w.out, ch)
			close(ch)
		}
	}
}

func (w *watchers) add() chan *pb.View {
	ch := make(chan *pb.View, watchBuffer)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out[ch] = struct{}{}
	return ch
}

func (w *watchers) drop(ch chan *pb.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.out[ch]; ok {
		delete(w.out, ch)
		close(ch)
	}
}

func (w *watchers) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.out)
}

// serveWatch sends the whole view, then the changes. A watcher that names an
// entry is this instance's own.
func (c *Coord) serveWatch(w *pb.Watch, s net.Conn) {
	if w.GetEntryIncarnation() != 0 {
		c.takeEntry(w)
	}
	ch := c.watchers.add()
	defer c.watchers.drop(ch)
	if frame.Write(s, frame.Reply, c.wholeView()) != nil {
		return
	}
	beat := time.NewTicker(watchBeat)
	defer beat.Stop()
	for {
		var v proto.Message = &pb.View{Reach: c.reach()}
		select {
		case change, ok := <-ch:
			if !ok {
				return
			}
			v = change
		case <-beat.C:
		}
		if frame.Write(s, frame.Reply, v) != nil {
			return
		}
	}
}

func (c *Coord) wholeView() *pb.View {
	rev, f := c.config()
	v := &pb.View{
		Self:    c.set.Name,
		Reach:   c.reach(),
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
