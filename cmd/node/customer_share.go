package node

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"quinceroad/coordination/shares"
	"quinceroad/protocol/pb"
)

// encodeStanding encodes a request's standing in its customer's share; nil if it is within
// the share.
func encodeStanding(s shares.Standing) *pb.Standing {
	if s.Within {
		return nil
	}
	return &pb.Standing{Resource: s.Resource, Asked: float32(s.Demand), Share: float32(s.Share)}
}

// decodeStanding is the inverse of encodeStanding. Owners of older builds send none.
func decodeStanding(s *pb.Standing) shares.Standing {
	if s == nil {
		return shares.Standing{Within: true}
	}
	return shares.Standing{Resource: s.Resource, Demand: float64(s.Asked), Share: float64(s.Share)}
}

// maxCustomerLength bounds a customer's name in messages and logs, in bytes.
const maxCustomerLength = 128

// boundedCustomerName returns a customer's name for messages and logs. A name that is too
// long is shortened, with a hash appended.
func boundedCustomerName(customer string) string {
	if len(customer) <= maxCustomerLength {
		return customer
	}
	return fmt.Sprintf("%.32s...%016x", customer, xxhash.Sum64String(customer))
}
