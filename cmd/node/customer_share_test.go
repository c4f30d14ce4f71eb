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

// Owners of older builds send no standing. Their refusals must not be reported to clients
// as over the customer's share.
func TestRefusalCarriesTheCustomersStanding(t *testing.T) {
	is := is.New(t)
	within := &refusedError{retryAfter: time.Second, forecast: decodeForecast(&pb.StagesReply{Refused: true})}
	is.True(within.forecast.standing.Within)
	is.True(strings.HasPrefix(within.Error(), "stages refused"))
	reply := &pb.StagesReply{Refused: true, Standing: encodeStanding(shares.Standing{Resource: "pool", Demand: 8, Share: 2})}
	over := &refusedError{retryAfter: time.Second, forecast: decodeForecast(reply)}
	is.Equal(over.forecast.standing, shares.Standing{Resource: "pool", Demand: 8, Share: 2})
	is.True(strings.HasPrefix(over.Error(), "over its customer's share"))
	is.Equal(encodeStanding(shares.Standing{Within: true}), nil)
}

func TestLongCustomerNamesAreBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(boundedCustomerName(""), "")
	is.Equal(boundedCustomerName("tenant-1"), "tenant-1")
	long := strings.Repeat("x", 10_000)
	is.True(len(boundedCustomerName(long)) <= maxCustomerLength)
	is.True(boundedCustomerName(long) != boundedCustomerName(long+"y"))
	is.NoErr(validateStagesAsk(&pb.StagesAsk{Customer: boundedCustomerName(long)}))
	is.True(validateStagesAsk(&pb.StagesAsk{Customer: long}) != nil)
}

// Thousands of customers are counted individually, the rest together, so that no request is
// lost from the counts and memory is bounded.
func TestCustomerCountsAreBounded(t *testing.T) {
	is := is.New(t)
	var c customerCounts
	for i := range 5400 {
		c.record(fmt.Sprint("customer-", i), nil, false)
	}
	c.record("customer-1", &failedError{reason: "share"}, true)
	c.record("customer-1", errClientGone, false)
	all := c.counts()
	is.Equal(len(all), maxCountedCustomers+1)
	one := all["customer-1"]
	is.Equal([]int64{one.Sent, one.Served, one.NotServed, one.OverShare}, []int64{3, 1, 2, 1})
	part, of := c.recentShare(0, "customer-1")
	is.Equal(of, uint32(5401)) // without the request over its share
	is.Equal(part, float32(2.0/5401))
	_, of = c.recentShare(time.Hour, "customer-1")
	is.Equal(of, uint32(0))
	sum := int64(0)
	for _, n := range all {
		sum += n.Sent
	}
	is.Equal(sum, int64(5402))
}
