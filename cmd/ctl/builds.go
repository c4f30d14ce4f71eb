package ctl

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"quinceroad/cmd/process"
)

// nodeBuild is the part of a node's state dump that describes builds and compatibility
// levels. Builds older than the levels leave all of it but the names empty.
type nodeBuild struct {
	Name       string
	Build      string
	Level      uint32
	FleetLevel uint32
	Waiting    []string // features that need a higher fleet level
	Instances  []struct {
		Name  string
		Level uint32
	}
}

// builds prints the build and level of each node, the level that all instances
// support, and the instances with a lower level than the node.
func (c *client) builds(addresses []string) (int, error) {
	all, err := fetchNodeStates[nodeBuild](addresses)
	if err != nil {
		return process.ExitFailure, err
	}
	return c.print(all, func() { printBuilds(c.out, all) })
}

func printBuilds(out io.Writer, all []nodeBuild) {
	t := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "NODE\tBUILD\tLEVEL\tFLEET LEVEL\tBEHIND\tWAITING FOR FLEET LEVEL")
	for _, n := range all {
		var behind []string
		for _, i := range n.Instances {
			if i.Level < n.Level {
				behind = append(behind, i.Name)
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\n", n.Name, cmp.Or(n.Build, "before levels"), n.Level, n.FleetLevel,
			cmp.Or(strings.Join(behind, ", "), "nobody"), cmp.Or(strings.Join(n.Waiting, "; "), "nothing"))
	}
}
