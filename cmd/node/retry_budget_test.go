package node

import (
	"fmt"
	"testing"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
	"quinceroad/platform"
	"quinceroad/state/catalog"
)

// Guards against BUDGET: after a start of all, each instance saw itself alone and took the whole
// fleet's retries for its own, and kept them when it knew the others.
func TestInstancesThatStartShareTheRetrySlack(t *testing.T) {
	is := is.New(t)
	const instances, slack = 20, 50
	taken := 0
	for range instances {
		n := New(&platform.Settings{Name: "n", Hall: "hall-0", IP: "10.0.0.1", Seeds: []string{"10.0.0.2:1"}, StoreAddress: "127.0.0.1:1", RetryRatio: 0.1, RetrySlack: slack}, hclog.NewNullLogger())
		s := &requestHandler{node: n, service: &catalog.Service{Name: "s"}}
		for s.consumeRetryBudget() { // before the others are known
			taken++
		}
		for i := range instances - 1 {
			n.gossipMu.Lock()
			n.members.Merge(n.now(), gossip.Instance{Name: fmt.Sprint("other-", i), Hall: "hall-0", Incarnation: 1, HeartbeatCount: 1})
			n.gossipMu.Unlock()
		}
		for s.consumeRetryBudget() {
			taken++
		}
	}
	t.Logf("%d retries of a slack of %d", taken, slack)
	is.True(taken <= slack)
}
