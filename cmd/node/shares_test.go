package node

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/shares"
	"quinceroad/protocol/pb"
)

// An owner of an older build tells nothing of shares: what it refuses is not
// said to be beyond one.
func TestARefusalTellsWhetherItIsTheCustomersShare(t *testing.T) {
	is := is.New(t)
	within := &refusedError{after: time.Second, expects: expectationOf(&pb.StagesReply{Refused: true})}
	is.True(within.expects.standing.Within)
	is.True(strings.HasPrefix(within.Error(), "stages refused"))
	told := &pb.StagesReply{Refused: true, Standing: standingNews(shares.Standing{Resource: "pool", Asked: 8, Share: 2})}
	beyond := &refusedError{after: time.Second, expects: expectationOf(told)}
	is.Equal(beyond.expects.standing, shares.Standing{Resource: "pool", Asked: 8, Share: 2})
	is.True(strings.HasPrefix(beyond.Error(), "over its customer's share"))
	is.Equal(standingNews(shares.Standing{Within: true}), nil)
}

func TestALongNameOfACustomerIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(nameOf(""), "")
	is.Equal(nameOf("tenant-1"), "tenant-1")
	long := strings.Repeat("x", 10_000)
	is.True(len(nameOf(long)) <= mostCustomer)
	is.True(nameOf(long) != nameOf(long+"y"))
	is.NoErr(checkAsk(&pb.StagesAsk{Customer: nameOf(long)}))
	is.True(checkAsk(&pb.StagesAsk{Customer: long}) != nil)
}
