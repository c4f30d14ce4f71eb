package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"quinceroad/cmd/process"
)

// nodeCustomers is the part of a node's state dump that describes customers. Builds
// older than customer shares leave all of it but the name empty.
type nodeCustomers struct {
	Name      string
	Customers map[string]customerCounts
	Cells     []struct {
		Number int
		Shares []customerShare
	}
}

type customerCounts struct{ Sent, Served, NotServed, Beyond int64 }

type customerShare struct {
	Customer, Resource string
	Asked, Share       float64
	Held               bool
}

// customers prints the outcomes of requests by customer, summed over the nodes, and
// each customer's demand on the pools.
func (c *client) customers(addresses []string) (int, error) {
	all, err := fetchNodeStates[nodeCustomers](addresses)
	if err != nil {
		return process.ExitFailure, err
	}
	return c.print(all, func() { printCustomers(c.out, all) })
}

func printCustomers(out io.Writer, all []nodeCustomers) {
	totals := make(map[string]customerCounts)
	demands := make(map[string][]string)
	for _, n := range all {
		for name, count := range n.Customers {
			totals[name] = totals[name].add(count)
		}
		for _, cell := range n.Cells {
			for _, s := range cell.Shares {
				demands[s.Customer] = append(demands[s.Customer], s.describe(cell.Number))
				totals[s.Customer] = totals[s.Customer].add(customerCounts{})
			}
		}
	}
	names := slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		return cmp.Or(cmp.Compare(totals[b].Sent, totals[a].Sent), cmp.Compare(a, b))
	})
	t := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "CUSTOMER\tSENT\tSERVED\tNOT SERVED\tOVER ITS SHARE\tDEMAND ON POOLS, REPLICA SECONDS PER SECOND")
	for _, name := range names {
		n := totals[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\n", cmp.Or(name, "(none)"), n.Sent, n.Served, n.NotServed, n.Beyond, strings.Join(demands[name], "; "))
	}
}

func (n customerCounts) add(other customerCounts) customerCounts {
	return customerCounts{n.Sent + other.Sent, n.Served + other.Served, n.NotServed + other.NotServed, n.Beyond + other.Beyond}
}

func (s customerShare) describe(cell int) string {
	if s.Held {
		return fmt.Sprintf("%s (cell %d) %.2f, held to %.2f", s.Resource, cell, s.Asked, s.Share)
	}
	return fmt.Sprintf("%s (cell %d) %.2f", s.Resource, cell, s.Asked)
}
