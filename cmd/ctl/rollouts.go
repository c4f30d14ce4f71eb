package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/process"
	"quinceroad/transport/web"
)

// nodeRollouts is the part of a node's state dump that describes rollouts; other
// fields are ignored.
type nodeRollouts struct {
	Name     string
	Rollouts []struct {
		Service, Target, Phase, Age, For, Status, Waits string
		Share                                           float64
		Sent, Rank                                      int
		Judgement                                       struct {
			Verdict int
			Routes  []routeFinding
		}
	}
}

// routeFinding has the counts and scores of a new and the old version on a route.
type routeFinding struct {
	Route                                  string
	New, NewBad, Old, OldBad               int
	Against, Accepted, GrantedRate, Median float64
}

// rollouts prints the state of rollouts at nodes.
func (c *client) rollouts(addresses []string) (int, error) {
	all, err := fetchNodeStates[nodeRollouts](addresses)
	if err != nil {
		return process.ExitFailure, err
	}
	return c.print(all, func() { printRollouts(c.out, all) })
}

// fetchNodeStates fetches the state dumps of nodes and decodes each into a T.
func fetchNodeStates[T any](addresses []string) ([]T, error) {
	all := make([]T, len(addresses))
	for i, address := range addresses {
		if err := fetchNodeState(address, &all[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// fetchNodeState fetches a node's state dump and decodes it into v.
func fetchNodeState(address string, v any) error {
	status, body, err := web.NewClient().GetTimeout(nil, "http://"+address+"/debug/state", callTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

func printRollouts(out io.Writer, all []nodeRollouts) {
	t := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "NODE\tSERVICE\tVERSION\tPHASE\tSTATUS\tAGE\tOF\tSHARE\tSENT\tJUDGES\tWAITS FOR")
	for _, n := range all {
		for _, r := range n.Rollouts {
			judges := "no"
			if r.Rank >= 0 {
				judges = fmt.Sprint(r.Rank + 1)
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%d\t%s\t%s\n",
				n.Name, r.Service, r.Target, r.Phase, r.Status, r.Age, r.For, r.Share, r.Sent, judges, r.Waits)
		}
	}
	fmt.Fprintln(t, "\nNODE\tSERVICE\tROUTE\tNEW\tBAD\tOLD\tBAD\tGRANTED\tOLD MEDIAN\tAGAINST\tFOR")
	for _, n := range all {
		for _, r := range n.Rollouts {
			for _, x := range r.Judgement.Routes {
				fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.0f ms\t%.1f\t%.1f\n",
					n.Name, r.Service, x.Route, x.New, x.NewBad, x.Old, x.OldBad, x.GrantedRate, x.Median, x.Against, -x.Accepted)
			}
		}
	}
}
