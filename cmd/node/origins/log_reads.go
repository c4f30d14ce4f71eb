package origins

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/origin"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	servedTimeout = storeTimeout / 2       // for the store to answer a read for a peer, which then gets what is known
	hedgeTime     = 250 * time.Millisecond // for the store to answer before peers are asked as well
	askedPeers    = 3                      // that are asked to read the logs if this instance can't
)

// readGap returns the shortest time between two reads of the store by this instance.
func (k *Keeper) readGap() time.Duration {
	return origin.ReadGap(len(k.opts.Live().Instances), k.opts.StoreRates.Reads)
}

// read reads the logs from the store.
func (l *logs) read() (buildlog.Snapshot, error) {
	s, err := l.opts.Store.BuildLogs()
	if err == nil {
		l.observe(&s)
	}
	return s, err
}

// readFresh returns the logs as of a moment after the call, read by this instance or, if the
// store doesn't answer it soon, by a peer.
func (l *logs) readFresh(ctx context.Context) (buildlog.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	results := make(chan snapshotResult, 2)
	go func() {
		s, err := l.reads.get(ctx)
		results <- snapshotResult{s, err}
	}()
	hedge := time.NewTimer(hedgeTime)
	defer hedge.Stop()
	pending, isHedged := 1, false
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				return r.snapshot, nil
			}
			if isHedged && pending == 0 {
				l.unread.Inc(1)
				return buildlog.Snapshot{}, r.err
			}
			hedge.Reset(0)
		case <-hedge.C:
			if isHedged {
				continue
			}
			isHedged = true
			pending++
			go func() {
				s, err := l.askPeers(&pb.BuildLogAsk{})
				results <- snapshotResult{s, err}
			}()
		}
	}
}

type snapshotResult struct {
	snapshot buildlog.Snapshot
	err      error
}

// askPeers has peers read the logs, and returns the first answer. What peers that can't read
// them know to be in the logs is taken in.
func (l *logs) askPeers(ask *pb.BuildLogAsk) (buildlog.Snapshot, error) {
	peers := l.peersWithLogs()
	answers := make(chan *pb.BuildLogReply, len(peers))
	for _, p := range peers {
		go func() { answers <- l.askPeer(p, ask) }()
	}
	for range peers {
		reply := <-answers
		if reply == nil {
			continue
		}
		s := decodeLogs(reply)
		if reply.Read {
			l.observe(&s)
			return s, nil
		}
		l.observeConfirmed(&s)
	}
	return buildlog.Snapshot{}, errNotInTime
}

func decodeLogs(reply *pb.BuildLogReply) buildlog.Snapshot {
	s := buildlog.Snapshot{Entries: make(map[string]buildlog.Entry, len(reply.Logs)), Era: reply.Era}
	for _, m := range reply.Logs {
		m.Incomplete = m.Incomplete || !reply.Read
		s.Entries[m.Service] = platform.DecodeBuildLog(m)
	}
	return s
}

func encodeLogs(s *buildlog.Snapshot, read bool) *pb.BuildLogReply {
	reply := &pb.BuildLogReply{Read: read, Era: s.Era}
	for service, e := range s.Entries {
		reply.Logs = append(reply.Logs, platform.EncodeBuildLog(service, &e))
	}
	return reply
}

// peersWithLogs returns some peers that know logs of builds. They differ from instance to
// instance.
func (l *logs) peersWithLogs() []*gossip.Instance {
	k := l.keeper
	all := origin.Holders(k.opts.Live(), k.opts.Region, origin.KeyOf("", k.opts.Name), collectorRole, knowsLogs)
	peers := k.withoutSelf(all)
	return peers[:min(len(peers), askedPeers)]
}

// askPeer has a peer read the logs. It returns nil if it did not answer.
func (l *logs) askPeer(p *gossip.Instance, ask *pb.BuildLogAsk) *pb.BuildLogReply {
	reply := &pb.BuildLogReply{}
	if err := l.opts.Peers.Call(p.PeerAddress, frame.ReadBuildLogs, ask, reply, storeTimeout); err != nil {
		event.NodeSideCallFailed.Log(l.opts.Log, "what", "logs of builds", "to", p.Name, "error", err)
		return nil
	}
	return reply
}

// ServeBuildLogs reads the logs for a peer that can't, after it has had them hold what the
// peer wants.
func (k *Keeper) ServeBuildLogs(message []byte) proto.Message {
	m := &pb.BuildLogAsk{}
	if err := proto.Unmarshal(message, m); err != nil {
		event.NodeMessageInvalid.Log(k.opts.Log, "what", "query for logs of builds", "from", "", "error", err)
		return &pb.BuildLogReply{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), servedTimeout)
	defer cancel()
	k.logs.awaitWanted(ctx, m.Wanted)
	s, err := k.logs.reads.get(ctx)
	if err != nil {
		return encodeLogs(k.logs.confirmed(), false)
	}
	return encodeLogs(&s, true)
}

// confirmed returns what this instance knows to be in the logs.
func (l *logs) confirmed() *buildlog.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Confirmed()
}

// awaitWanted has the logs hold what a peer wants, and waits for it.
func (l *logs) awaitWanted(ctx context.Context, wanted []*pb.BuildLog) {
	for _, m := range wanted {
		w := buildlog.Wanted{Builds: m.Builds, Routes: platform.DecodeBuildLog(m).Routes}
		l.want(m.Service, w)
		for {
			l.mu.Lock()
			covered, changed := l.log.Covers(m.Service, w), l.changed
			l.mu.Unlock()
			if covered {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}
}
