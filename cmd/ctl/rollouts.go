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

// nodeRollouts is what a node's dump of state holds of roll-outs; the rest is
// passed over.
type nodeRollouts struct {
	Name     string
	Rollouts []struct {
		Service, Target, Phase, Age, For, Status, Waits string
		Share                                           float64
		Sent, Rank                                      int
		Judgement                                       struct {
			Verdict int
			Routes  []routeSeen
		}
	}
}

// routeSeen is what was seen of a version on a route.
type routeSeen struct {
	Route                                  string
	New, NewBad, Old, OldBad               int
	Against, Accepted, GrantedRate, Median float64
}

// rollouts prints what nodes know of the roll-outs.
func (c *client) rollouts(addresses []string) (int, error) {
	all, err := nodeStates[nodeRollouts](addresses)
	if err != nil {
		return process.ExitFailure, err
	}
	return c.print(all, func() { printRollouts(c.out, all) })
}

// nodeStates reads what the dumps of state of some nodes hold into values of a type.
func nodeStates[T any](addresses []string) ([]T, error) {
	all := make([]T, len(addresses))
	for i, address := range addresses {
		if err := nodeState(address, &all[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// nodeState reads what a node's dump of state holds into v.
func nodeState(address string, v any) error {
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
	fmt.Fprintln(t, "NODE\tSERVICE\tVERSION\tWORD\tSTATUS\tAGE\tOF\tSHARE\tSENT\tJUDGES\tWAITS FOR")
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
