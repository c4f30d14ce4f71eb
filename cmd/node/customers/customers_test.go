package customers

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Thousands of customers are counted individually, the rest together, so that no request is
// lost from the counts and memory is bounded.
func TestCustomerCountsAreBounded(t *testing.T) {
	is := is.New(t)
	var c Counts
	for i := range 5400 {
		c.Record(fmt.Sprint("customer-", i), nil, false)
	}
	c.Record("customer-1", errors.New("over its share"), true)
	c.Record("customer-1", errors.New("the client has gone"), false)
	all := c.All()
	is.Equal(len(all), maxCustomers+1)
	one := all["customer-1"]
	is.Equal([]int64{one.Sent, one.Served, one.NotServed, one.OverShare}, []int64{3, 1, 2, 1})
	part, of := c.RecentShare(0, "customer-1")
	is.Equal(of, uint32(5401)) // without the request over its share
	is.Equal(part, float32(2.0/5401))
	_, of = c.RecentShare(time.Hour, "customer-1")
	is.Equal(of, uint32(0))
	sum := int64(0)
	for _, n := range all {
		sum += n.Sent
	}
	is.Equal(sum, int64(5402))
}
