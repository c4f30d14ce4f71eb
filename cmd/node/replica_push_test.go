package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/changes"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// A change of a replica reaches the instances of a hall with its announcement, also as the
// first change after the list was loaded. If each of them pulled it, the reader would
// answer one call for each instance and change.
func TestChangeOfAReplicaNeedsNoPull(t *testing.T) {
	is := is.New(t)
	reader, other, started := fleetNode(t, 3, 2000), fleetNode(t, 3, 2000), newTwoReplicaNode()
	for step := range 3 {
		since := reader.replicas.changeLog.CompleteSince()
		at := uint64(200 + 10*step)
		value := replicaEntry(t, &catalog.Replica{Service: "s1", Address: "10.1.64.1:8080", Hall: "hall-1", Version: "v1", Slots: step + 20})
		reader.replicas.changeLog.ApplyChanges([]changes.Entry{{ID: "i-00000001", Value: value, Revision: at}}, pointAt(at+5))
		message, size := reader.buildReplicasAnswer(since)
		is.True(!message.Whole)
		is.True(size <= maxPushedChanges)
		h := &pb.Heartbeat{News: []*pb.InstanceNews{{Name: "reader"}}, Replicas: message, ReplicasSince: since.Revision}
		other.mergePushedChanges(h)
		r, ok := other.snapshot.Load().list.Replica("i-00000001")
		is.True(ok)
		is.Equal(r.Slots, step+20)
		is.Equal(other.replicasKnownAt(), pointAt(at+5))
		started.mergePushedChanges(h) // it has no list yet, so it must pull
		is.Equal(started.replicasKnownAt(), pointAt(0))
	}
	is.Equal(other.counters.pushedChanges.Count(), int64(3))
}

// A change that was lost on the way is not passed over: the next one is not applied, and
// the instance pulls both.
func TestPushedChangeAfterALostOneIsNotApplied(t *testing.T) {
	is := is.New(t)
	reader, other := fleetNode(t, 3, 100), fleetNode(t, 3, 100)
	var pushed *pb.Heartbeat
	for step := range 2 {
		since, at := reader.replicas.changeLog.CompleteSince(), uint64(200+step)
		value := replicaEntry(t, &catalog.Replica{Service: "s1", Address: "10.1.64.1:8080", Hall: "hall-1", Version: "v1", Slots: 3})
		reader.replicas.changeLog.ApplyChanges([]changes.Entry{{ID: fmt.Sprint("new-", step), Value: value, Revision: at}}, pointAt(at))
		message, _ := reader.buildReplicasAnswer(since)
		pushed = &pb.Heartbeat{News: []*pb.InstanceNews{{Name: "reader"}}, Replicas: message, ReplicasSince: since.Revision}
	}
	other.mergePushedChanges(pushed)
	is.True(!other.snapshot.Load().list.Has("new-1"))
	other.replicas.changeLog.ApplyUpdate(other.now(), reader.replicas.changeLog.UpdateSince(other.replicasKnownAt()))
	other.publishSnapshot()
	is.True(other.snapshot.Load().list.Has("new-0"))
	is.True(other.snapshot.Load().list.Has("new-1"))
}
