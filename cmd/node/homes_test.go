package node

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/protocol/exchange"
	"quinceroad/state/catalog"
)

// A request without a key, admitted while its route asked for none, is under way
// as a configuration comes into force that asks for one: no customer binds it.
// To look for the regions of a customer that is not there ended its connection.
func TestARequestWithoutAKeyIsBoundByItsRouteAlone(t *testing.T) {
	is := is.New(t)
	route := func(anonymous bool) *catalog.Configuration {
		c := &catalog.Configuration{Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Anonymous: anonymous, AllowedRegions: []string{"north"}}}}
		c.Index()
		return c
	}
	before, after := &snapshot{config: route(true)}, &snapshot{config: route(false)}
	n := &Node{}
	n.world.Store(after)
	s := &serving{node: n, world: before, route: &before.config.Routes[0], req: &exchange.Request{Host: "h", Path: "/x"}}
	is.Equal(s.homes().Names(), []string{"north"})
}
