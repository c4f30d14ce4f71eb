package node

import (
	"fmt"
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
	within := &refusedError{retryAfter: time.Second, forecast: forecastOf(&pb.StagesReply{Refused: true})}
	is.True(within.forecast.standing.Within)
	is.True(strings.HasPrefix(within.Error(), "stages refused"))
	told := &pb.StagesReply{Refused: true, Standing: standingNews(shares.Standing{Resource: "pool", Demand: 8, Share: 2})}
	beyond := &refusedError{retryAfter: time.Second, forecast: forecastOf(told)}
	is.Equal(beyond.forecast.standing, shares.Standing{Resource: "pool", Demand: 8, Share: 2})
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
	is.NoErr(validateStagesAsk(&pb.StagesAsk{Customer: nameOf(long)}))
	is.True(validateStagesAsk(&pb.StagesAsk{Customer: long}) != nil)
}

// Customers by the thousand are counted, more than that together: nothing is lost
// and memory is bounded.
func TestCustomersAreCountedWithinABound(t *testing.T) {
	is := is.New(t)
	var c customerCounts
	for i := range 5400 {
		c.count(fmt.Sprint("customer-", i), nil, false)
	}
	c.count("customer-1", &failedError{reason: "share"}, true)
	c.count("customer-1", errClientGone, false)
	all := c.counts()
	is.Equal(len(all), mostCounted+1)
	one := all["customer-1"]
	is.Equal([]int64{one.Sent, one.Served, one.NotServed, one.Beyond}, []int64{3, 1, 2, 1})
	part, of := c.usual(0, "customer-1")
	is.Equal(of, uint32(5401)) // but what was beyond its share
	is.Equal(part, float32(2.0/5401))
	_, of = c.usual(time.Hour, "customer-1")
	is.Equal(of, uint32(0))
	sum := int64(0)
	for _, n := range all {
		sum += n.Sent
	}
	is.Equal(sum, int64(5402))
}
