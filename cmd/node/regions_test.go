package node

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/protocol/clientrequest"
	"quinceroad/state/catalog"
)

// A request without a key is in flight, admitted while its route was anonymous, when
// a configuration comes into force that requires a key. Only its route restricts its
// regions then: looking up the regions of its missing customer panicked and closed
// the connection.
func TestRequestWithoutKeyIsRestrictedByRouteOnly(t *testing.T) {
	is := is.New(t)
	route := func(anonymous bool) *catalog.Configuration {
		c := &catalog.Configuration{Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Anonymous: anonymous, AllowedRegions: []string{"north"}}}}
		c.Index()
		return c
	}
	before, after := &snapshot{config: route(true)}, &snapshot{config: route(false)}
	n := &Node{}
	n.world.Store(after)
	s := &requestHandler{node: n, world: before, route: &before.config.Routes[0], req: &clientrequest.Request{Host: "h", Path: "/x"}}
	is.Equal(s.allowedRegions().Names(), []string{"north"})
}
