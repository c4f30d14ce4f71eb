package node

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"quinceroad/coordination/shares"
	"quinceroad/protocol/pb"
)

// standingNews is what an owner tells of how a request stands within its
// customer's share; nil where it is within.
func standingNews(s shares.Standing) *pb.Standing {
	if s.Within {
		return nil
	}
	return &pb.Standing{Resource: s.Resource, Asked: float32(s.Demand), Share: float32(s.Share)}
}

// standingOf reads what an owner tells; one of an older build tells nothing.
func standingOf(s *pb.Standing) shares.Standing {
	if s == nil {
		return shares.Standing{Within: true}
	}
	return shares.Standing{Resource: s.Resource, Demand: float64(s.Asked), Share: float64(s.Share)}
}

// mostCustomer bounds a customer's name in messages and logs, in bytes.
const mostCustomer = 128

// nameOf is a customer's name as messages and logs have it: one that is longer than
// they hold goes by its hash.
func nameOf(customer string) string {
	if len(customer) <= mostCustomer {
		return customer
	}
	return fmt.Sprintf("%.32s...%016x", customer, xxhash.Sum64String(customer))
}
