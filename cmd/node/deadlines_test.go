package node

import (
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"quinceroad/platform"
	"quinceroad/protocol/clientrequest"
	"quinceroad/state/catalog"
)

// The connection time of a first attempt shortens its deadline by some ms. When a few ms
// less than the longest deadline sufficed to detect a retry, two thirds of all first
// attempts were taken for retries and admitted as such.
func TestConnectionTimeOfFirstAttemptIsNoRetry(t *testing.T) {
	is := is.New(t)
	d := make(longestDeadlines)
	const full = 6 * time.Second
	is.True(!d.isRetry("r", full))
	is.True(!d.isRetry("r", full-30*time.Millisecond))
	is.True(d.isRetry("r", full-120*time.Millisecond)) // refused, and retried after the minimum wait
	is.True(!d.isRetry("other", full/2))               // clients of another route state shorter deadlines
}

// LOST: an instance that has just started, and knows no usual deadlines, takes a stream that its
// client takes up again for a retry, which is admitted late rather than refused.
func TestTakenUpStreamIsARetryAtAFreshInstance(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n", Hall: "h", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	request := func(lastEvent string) *requestHandler {
		return &requestHandler{node: n, route: &catalog.Route{Name: "r"}, req: &clientrequest.Request{Timeout: time.Second, LastEventID: lastEvent}}
	}
	is.True(!request("").isClientRetry())
	is.True(request("3").isClientRetry())
}
