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

// nodeCustomers is what a node's dump of state holds of customers. Nodes that were
// built before customers' shares hold none of it.
type nodeCustomers struct {
	Name      string
	Customers map[string]customerCount
	Cells     []struct {
		Number int
		Shares []customerShare
	}
}

type customerCount struct{ Sent, Served, NotServed, Beyond int64 }

type customerShare struct {
	Customer, Resource string
	Asked, Share       float64
	Held               bool
}

// customers prints what became of customers' requests, and who asks for how much
// of which pool.
func (c *client) customers(addresses []string) (int, error) {
	all, err := nodeStates[nodeCustomers](addresses)
	if err != nil {
		return process.ExitFailure, err
	}
	return c.print(all, func() { printCustomers(c.out, all) })
}

func printCustomers(out io.Writer, all []nodeCustomers) {
	sums := make(map[string]customerCount)
	asks := make(map[string][]string)
	for _, n := range all {
		for name, count := range n.Customers {
			sums[name] = sums[name].add(count)
		}
		for _, cell := range n.Cells {
			for _, s := range cell.Shares {
				asks[s.Customer] = append(asks[s.Customer], s.text(cell.Number))
				sums[s.Customer] = sums[s.Customer].add(customerCount{})
			}
		}
	}
	names := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b].Sent, sums[a].Sent), cmp.Compare(a, b))
	})
	t := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "CUSTOMER\tSENT\tSERVED\tNOT SERVED\tBEYOND ITS SHARE\tASKS OF POOLS, REPLICAS' SECONDS A SECOND")
	for _, name := range names {
		n := sums[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\n", cmp.Or(name, "(none)"), n.Sent, n.Served, n.NotServed, n.Beyond, strings.Join(asks[name], "; "))
	}
}

func (n customerCount) add(other customerCount) customerCount {
	return customerCount{n.Sent + other.Sent, n.Served + other.Served, n.NotServed + other.NotServed, n.Beyond + other.Beyond}
}

func (s customerShare) text(cell int) string {
	if s.Held {
		return fmt.Sprintf("%s (cell %d) %.2f, held to %.2f", s.Resource, cell, s.Asked, s.Share)
	}
	return fmt.Sprintf("%s (cell %d) %.2f", s.Resource, cell, s.Asked)
}
