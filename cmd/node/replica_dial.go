package node

import (
	"context"
	"errors"
	"time"

	"quinceroad/state/catalog"
	"quinceroad/transport/upstream"
)

// replicaTarget is a replica to connect to.
type replicaTarget struct{ id, service, address string }

func targetOf(r *catalog.Replica) replicaTarget {
	return replicaTarget{id: r.ID, service: r.Service, address: r.Address}
}

// connectReplica returns a connection to a replica for a client's request, or for a call if
// request is "": a pooled one if there is one.
func (n *Node) connectReplica(ctx context.Context, t replicaTarget, request string, within time.Duration) (*upstream.Conn, error) {
	if cn := n.replicaClient.IdleConnFor(t.address, request); cn != nil {
		return cn, nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		within = min(within, time.Until(deadline))
	}
	return n.dialReplica(ctx, t, max(within, time.Millisecond))
}

// dialResult is the end of a try to connect.
type dialResult struct {
	conn *upstream.Conn
	peer string // relays the connection; "": none
	err  error
}

// dialReplica opens a connection to a replica: over the own link, and through a peer when
// that is cut or does not connect soon.
func (n *Node) dialReplica(ctx context.Context, t replicaTarget, within time.Duration) (*upstream.Conn, error) {
	if n.replicaLinks.isCut(t.id) {
		if r := n.dialThroughPeers(ctx, t, within); r.err == nil {
			return r.conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	own := make(chan dialResult, 1)
	go func() {
		cn, err := n.dialOwnLink(t, within)
		own <- dialResult{conn: cn, err: err}
	}()
	headStart := time.NewTimer(n.replicaLinks.headStart(t.service))
	defer headStart.Stop()
	var ownResult *dialResult
	select {
	case r := <-own:
		if r.err == nil {
			n.recordReached(t)
			return r.conn, nil
		}
		ownResult = &r
	case <-headStart.C:
	case <-ctx.Done():
	}
	return n.raceThroughPeers(ctx, t, within, own, ownResult)
}

// raceThroughPeers asks peers to connect, and returns their connection or that of the own
// link, which may still come up; ownResult is its failure if it has ended.
func (n *Node) raceThroughPeers(ctx context.Context, t replicaTarget, within time.Duration, own <-chan dialResult, ownResult *dialResult) (*upstream.Conn, error) {
	relayed := make(chan dialResult, 1)
	go func() { relayed <- n.dialThroughPeers(ctx, t, within) }()
	var relayResult *dialResult
	for ownResult == nil || relayResult == nil {
		select {
		case r := <-own:
			if r.err == nil {
				n.recordReached(t)
				closeLate(relayed, relayResult)
				return r.conn, nil
			}
			ownResult = &r
		case r := <-relayed:
			if r.err == nil {
				n.recordOwnLinkFailure(t, r.peer, own, ownResult)
				return r.conn, nil
			}
			relayResult = &r
		}
	}
	return nil, n.connectError(ownResult.err, relayResult.err)
}

// closeLate closes a connection that comes up after another one is in use. ended is the
// result if it is known already.
func closeLate(results <-chan dialResult, ended *dialResult) {
	if ended != nil {
		return
	}
	go func() {
		if r := <-results; r.conn != nil {
			r.conn.Close()
		}
	}()
}

// recordOwnLinkFailure records that a peer connected and the own link has not, unless it does
// when it is tried once more: the replica may have been silent or its port closed for a
// moment, and the peer's try began later. The wait for another silence delays nobody.
func (n *Node) recordOwnLinkFailure(t replicaTarget, peer string, own <-chan dialResult, ownResult *dialResult) {
	confirm := func(err error) {
		if n.replicaLinks.isCut(t.id) || !n.tryOwnLinkWithin(t, confirmTimeout) {
			n.recordCut(t, peer, err)
		}
	}
	if ownResult != nil && !isSilence(ownResult.err) {
		confirm(ownResult.err)
		return
	}
	go confirm(errOwnLinkSilent)
	if ownResult == nil {
		go n.keepLate(t, own)
	}
}

// keepLate keeps a connection over the own link that comes up after a peer's.
func (n *Node) keepLate(t replicaTarget, own <-chan dialResult) {
	if r := <-own; r.err == nil {
		n.recordReached(t)
		r.conn.KeepIdle(defaultReplicaConnIdle)
	}
}

// confirmTimeout is the time for the second try of the own link.
const confirmTimeout = 100 * time.Millisecond

var errOwnLinkSilent = errors.New("the own link got no answer")

// dialOwnLink connects to a replica over this instance's own link.
func (n *Node) dialOwnLink(t replicaTarget, within time.Duration) (*upstream.Conn, error) {
	n.counters.connections.Inc(1)
	return n.replicaClient.Dial(t.address, within)
}

// connectError returns the error for a replica that neither the own link nor a peer reaches.
// Unless a peer has found the same, the cause is unclear, and a refusal over the own link
// must not look like the end of the replica.
func (n *Node) connectError(own, relayed error) error {
	if errors.Is(relayed, errNoPeer) || errors.Is(relayed, errPeersNotConnected) {
		return own
	}
	return errors.Join(upstream.ErrConnect, relayed)
}
