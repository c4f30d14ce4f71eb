package ctl

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/process"
	"quinceroad/transport/web"
)

// nodeQuarantine is the part of a node's state dump that describes suspected and quarantined
// requests and parts of prompts: those during whose execution replicas have ended.
type nodeQuarantine struct {
	Name       string
	Quarantine []struct {
		Fingerprint, Kind, Verdict, Asked string
		Ended, Tried, Cleared             int
	}
}

// quarantine prints the suspected and quarantined requests of nodes.
func (c *client) quarantine(addresses []string) (int, error) {
	all, err := fetchNodeStates[nodeQuarantine](addresses)
	if err != nil {
		return process.ExitFailure, err
	}
	return c.print(all, func() { printQuarantine(c.out, all) })
}

func printQuarantine(out io.Writer, all []nodeQuarantine) {
	t := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "NODE\tFINGERPRINT\tKIND\tVERDICT\tENDED\tTRIED\tCLEARED\tASKED")
	for _, n := range all {
		for _, q := range n.Quarantine {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s ago\n", n.Name, q.Fingerprint, q.Kind, q.Verdict, q.Ended, q.Tried, q.Cleared, q.Asked)
		}
	}
}

// acquit releases a quarantined request; the node at address informs the others.
func (c *client) acquit(fingerprint, address string) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/debug/acquit?fingerprint=" + url.QueryEscape(fingerprint))
	if err := web.NewClient().DoTimeout(req, resp, callTimeout); err != nil {
		return process.ExitFailure, fmt.Errorf("%s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return process.ExitFailure, fmt.Errorf("%s: %s", address, strings.TrimSpace(string(resp.Body())))
	}
	fmt.Fprintf(c.out, "%s may be sent again\n", fingerprint)
	return process.ExitOK, nil
}
