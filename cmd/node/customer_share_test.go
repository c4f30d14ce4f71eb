package node

import (
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
