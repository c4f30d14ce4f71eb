// Package convert converts between the types of the coordination packages and
// protobuf messages.
package convert

import (
	"time"

	"quinceroad/coordination/membership"
	"quinceroad/coordination/replicas"
	"quinceroad/coordination/revision"
	"quinceroad/protocol/api"
	"quinceroad/protocol/pb"
)

// Micros returns a duration in microseconds, the unit of durations in messages.
func Micros(d time.Duration) int64 { return d.Microseconds() }

// FromMicros is the reverse of Micros.
func FromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Member returns the message of m.
func Member(m membership.Member) *pb.Member {
	return &pb.Member{
		Name: m.Name, Hall: m.Hall, Incarnation: m.Incarnation, Seq: m.Seq,
		State: pb.Member_State(m.State), Leaving: m.Leaving, CoordLink: m.CoordAddress,
		EntryHttp: m.EntryHTTPAddress, EntryLink: m.EntryPeerAddress,
		EntryIncarnation: m.EntryIncarnation, Succeeds: m.AdoptedIncarnations,
	}
}

// FromMember is the reverse of Member.
func FromMember(m *pb.Member) membership.Member {
	return membership.Member{
		Name: m.GetName(), Hall: m.GetHall(), Incarnation: m.GetIncarnation(), Seq: m.GetSeq(),
		State: membership.State(m.GetState()), Leaving: m.GetLeaving(), CoordAddress: m.GetCoordLink(),
		EntryHTTPAddress: m.GetEntryHttp(), EntryPeerAddress: m.GetEntryLink(),
		EntryIncarnation: m.GetEntryIncarnation(), AdoptedIncarnations: m.GetSucceeds(),
	}
}

// Members returns the messages of all ms.
func Members(ms []membership.Member) []*pb.Member {
	out := make([]*pb.Member, len(ms))
	for i, m := range ms {
		out[i] = Member(m)
	}
	return out
}

// FromMembers is the reverse of Members.
func FromMembers(ms []*pb.Member) []membership.Member {
	out := make([]membership.Member, len(ms))
	for i, m := range ms {
		out[i] = FromMember(m)
	}
	return out
}

// Replica returns the message of r.
func Replica(r replicas.Replica) *pb.Replica {
	return &pb.Replica{
		Id: r.ID, Service: r.Service, Hall: r.Hall, Address: r.Address,
		Incarnation: r.Incarnation, Leaving: r.Leaving, ChecksFences: r.ChecksFences,
	}
}

// FromReplica is the reverse of Replica.
func FromReplica(r *pb.Replica) replicas.Replica {
	return replicas.Replica{
		ID: r.GetId(), Service: r.GetService(), Hall: r.GetHall(), Address: r.GetAddress(),
		Incarnation: r.GetIncarnation(), Leaving: r.GetLeaving(), ChecksFences: r.GetChecksFences(),
	}
}

// Replicas returns the messages of all rs.
func Replicas(rs []replicas.Replica) []*pb.Replica {
	out := make([]*pb.Replica, len(rs))
	for i, r := range rs {
		out[i] = Replica(r)
	}
	return out
}

// FromReplicas is the reverse of Replicas.
func FromReplicas(rs []*pb.Replica) []replicas.Replica {
	out := make([]replicas.Replica, len(rs))
	for i, r := range rs {
		out[i] = FromReplica(r)
	}
	return out
}

// FromListedReplicas converts the platform's list of replicas.
func FromListedReplicas(list []api.ListedReplica) []replicas.Replica {
	out := make([]replicas.Replica, len(list))
	for i, l := range list {
		out[i] = replicas.Replica(l)
	}
	return out
}

// Config returns the message of c.
func Config(c revision.Config) *pb.Config {
	return &pb.Config{Revision: c.Revision, PlanId: c.PlanID, Declaration: c.Declaration}
}

// FromConfig is the reverse of Config.
func FromConfig(c *pb.Config) revision.Config {
	return revision.Config{Revision: c.GetRevision(), PlanID: c.GetPlanId(), Declaration: c.GetDeclaration()}
}
