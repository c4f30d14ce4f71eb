// Package review lints a configuration: before an operator activates it, it is checked
// for mistakes and doubtful settings beyond the errors that make it invalid.
package review

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"quinceroad/state/catalog"
)

// Finding is a problem in a configuration, with its place.
type Finding struct {
	Rule  string // name of the violated rule
	Place string // route or service, such as "route chat"
	Text  string
}

// Rule is a check of a configuration.
type Rule struct {
	Name        string
	Description string // the condition that a configuration must meet
	check       func(*catalog.Configuration) []Finding
}

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{
		{"service-unknown", "a route, a part of a split or a stage names a service that is configured", unknownServices},
		{"service-unused", "every service is named by a route or a stage", unusedServices},
		{"prefix-form", "a route's prefix begins and ends with a slash, and its host is given", prefixForm},
		{"prefix-twice", "no two routes of a host have the same prefix", duplicatePrefix},
		{"split-weight", "every part of a split has a weight above 0", splitWeight},
		{"time-order", "a route's objective and its longest pause are below its time-out", timeoutOrder},
		{"once-attempts", "a route that may run once is sent to one replica", onceAttempts},
		{"resumable-kind", "only streams are resumable, and those may be sent to a second replica", resumableKind},
		{"stage-room", "a replica of a pool has room for a result of every stage that it runs", stageMemory},
		{"stream-engine", "a route with stages ends at a service that generates", streamEngine},
	}
}

// Check returns all findings, sorted by rule and place.
func Check(c *catalog.Configuration) []Finding {
	var out []Finding
	for _, r := range Rules() {
		found := r.check(c)
		for i := range found {
			found[i].Rule = r.Name
		}
		slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(a.Place, b.Place) })
		out = append(out, found...)
	}
	return out
}

func newFinding(place, format string, args ...any) Finding {
	return Finding{Place: place, Text: fmt.Sprintf(format, args...)}
}

// checkRoutes returns the findings of a check over all routes.
func checkRoutes(c *catalog.Configuration, check func(place string, r *catalog.Route) []Finding) []Finding {
	var out []Finding
	for i := range c.Routes {
		out = append(out, check("route "+c.Routes[i].Name, &c.Routes[i])...)
	}
	return out
}

func unknownServices(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		var out []Finding
		for _, t := range r.Targets {
			if c.Services[t.Service] == nil {
				out = append(out, newFinding(place, "it names the service %q, which is not configured", t.Service))
			}
		}
		return out
	})
}

func unusedServices(c *catalog.Configuration) []Finding {
	used := make(map[string]bool)
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
		for _, s := range r.Stages {
			used[s.Service] = true
		}
	}
	var out []Finding
	for name := range c.Services {
		if !used[name] {
			out = append(out, newFinding("service "+name, "no route and no stage names it"))
		}
	}
	return out
}

func prefixForm(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		var out []Finding
		if r.Host == "" {
			out = append(out, newFinding(place, "it has no host"))
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			out = append(out, newFinding(place, "the prefix %q does not begin and end with a slash", r.Prefix))
		}
		return out
	})
}

func duplicatePrefix(c *catalog.Configuration) []Finding {
	first := make(map[string]string)
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		key := r.Host + " " + r.Prefix
		other, twice := first[key]
		if !twice {
			first[key] = r.Name
			return nil
		}
		return []Finding{newFinding(place, "route %s has the same host and prefix %s%s", other, r.Host, r.Prefix)}
	})
}

func splitWeight(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		var out []Finding
		for _, t := range r.Targets {
			if t.Weight <= 0 {
				out = append(out, newFinding(place, "its part for %q has the weight %d", t.Service, t.Weight))
			}
		}
		return out
	})
}

func timeoutOrder(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		var out []Finding
		if r.Timeout > 0 && r.Objective > r.Timeout {
			out = append(out, newFinding(place, "the objective of %v is beyond the time-out of %v", r.Objective, r.Timeout))
		}
		if r.Timeout > 0 && r.GapObjective > r.Timeout {
			out = append(out, newFinding(place, "the longest pause of %v is beyond the time-out of %v", r.GapObjective, r.Timeout))
		}
		return out
	})
}

func onceAttempts(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		if r.Kind != catalog.AtMostOnce || r.MaxAttempts <= 1 {
			return nil
		}
		return []Finding{newFinding(place, "it may run once, yet states %d replicas: only those that say that they did not run it are followed by another", r.MaxAttempts)}
	})
}

func resumableKind(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		switch {
		case !r.Resumable:
			return nil
		case r.Kind != catalog.Stream:
			return []Finding{newFinding(place, "it is resumable but no stream")}
		case r.MaxAttempts < 2:
			return []Finding{newFinding(place, "it is resumable but may be sent to one replica only")}
		}
		return nil
	})
}

func stageMemory(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		var out []Finding
		for n, s := range r.Stages {
			service := c.Services[s.Service]
			if service != nil && service.Pool != nil && service.Pool.ResultMemory > 0 && s.ResultBytes > service.Pool.ResultMemory {
				out = append(out, newFinding(place, "a result of stage %d takes %d bytes, a replica of %q has room for %d", n, s.ResultBytes, s.Service, service.Pool.ResultMemory))
			}
		}
		return out
	})
}

func streamEngine(c *catalog.Configuration) []Finding {
	return checkRoutes(c, func(place string, r *catalog.Route) []Finding {
		if len(r.Stages) == 0 {
			return nil
		}
		var out []Finding
		for _, t := range r.Targets {
			if s := c.Services[t.Service]; s != nil && s.Engine == nil {
				out = append(out, newFinding(place, "it has stages, but %q does not generate", t.Service))
			}
		}
		return out
	})
}
