// Package ctl implements quincectl, the operators' command line: a client of the coords'
// intent API and of the nodes' admin listeners, and a reader of node logs.
package ctl

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/process"
	"quinceroad/protocol/api"
	"quinceroad/protocol/settings"
	"quinceroad/transport/web"
)

const usage = `usage: quincectl [-operators IP:PORT] [-token TOKEN] [-o text|json] COMMAND

commands:
  check -f FILE      validate a declaration locally
  plan -f FILE       submit a declaration and print its plan; changes nothing
  show PLAN          print a plan
  confirm PLAN       put a plan into force and wait until every instance has applied it
  diff -f FILE       print what a declaration would change
  status             instances, replicas, and the revision in force at each
  drain INSTANCE     take an instance out of address answers until it restarts
  history            accepted revisions, newest first
  dump               the coord's state
  explain ID FILE... trace a request through node logs, in order of time
  rollouts ADDR...   state of ordered rollouts at nodes (addresses of their metrics)
  quarantine ADDR... requests that nodes suspect or have quarantined because replicas ended (addresses of their metrics)
  acquit PRINT ADDR  release a quarantined request by its fingerprint; the node informs the others
  customers ADDR...  outcomes of requests by customer, demand on the pools, and customers throttled to their share
  builds ADDR...     builds of nodes, the level that all support, instances with a lower one (addresses of their metrics)
  losses FILE...     requests in node logs that were not served in time, by cause and time
  config -f FILE     check a configuration in the format of the platform's store
  rules              list the rules that config checks

examples:
  quincectl check -f examples/kalahari/fleet.toml
  quincectl -operators 127.0.0.1:21014 -token demo-operator plan -f examples/kalahari/fleet.toml
  quincectl -operators 127.0.0.1:21014 -token demo-operator status

The address and the token may come from QUINCE_OPERATORS and QUINCE_TOKEN.
exit codes: 0 done, 1 refused or failed, 2 bad arguments or declaration,
3 conflict: plan again, 4 undetermined: confirm again

`

// Exit codes in addition to those of package process.
const (
	exitConflict     = 3
	exitUndetermined = 4
)

const (
	callTimeout    = 10 * time.Second
	followTimeout  = 15 * time.Second       // maximum wait for a confirmed revision to be in force everywhere
	followInterval = 300 * time.Millisecond // between status calls during that wait
	formatJSON     = "json"
)

// client holds the options and output streams of one invocation.
type client struct {
	addr, token, format, file string
	out, errOut               io.Writer
}

// errUsage is returned for an unknown command or wrong arguments.
var errUsage = errors.New("bad arguments; see quincectl -h")

// Main runs quincectl with the given arguments and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	c := &client{out: out, errOut: errOut}
	flags := flag.NewFlagSet("quincectl", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&c.addr, "operators", os.Getenv("QUINCE_OPERATORS"), "a coord's operators' listener")
	flags.StringVar(&c.token, "token", os.Getenv("QUINCE_TOKEN"), "the operator's token")
	flags.StringVar(&c.format, "o", "text", "text or json")
	version := flags.Bool("version", false, "print the version and exit")
	flags.Usage = func() { fmt.Fprint(errOut, usage); flags.PrintDefaults() }
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return process.ExitOK
	case err != nil:
		return process.ExitUsage
	case *version:
		fmt.Fprintln(out, "quincectl", process.Version)
		return process.ExitOK
	}
	code, err := c.command(flags.Args())
	if err != nil {
		fmt.Fprintln(errOut, "quincectl:", err)
	}
	return code
}

func (c *client) command(args []string) (int, error) {
	if len(args) == 0 {
		return process.ExitUsage, errUsage
	}
	name, rest := args[0], args[1:]
	if slices.ContainsFunc(rest, isHelp) {
		fmt.Fprintln(c.out, commandUsage(name))
		return process.ExitOK, nil
	}
	if len(rest) == 2 && rest[0] == "-f" {
		c.file = rest[1]
		rest = nil
	}
	switch {
	case name == "check" && c.file != "":
		return c.check()
	case (name == "plan" || name == "diff") && c.file != "":
		return c.plan(name == "diff")
	case name == "show" && len(rest) == 1:
		return c.show(rest[0])
	case name == "confirm" && len(rest) == 1:
		return c.confirm(rest[0])
	case name == "status" && len(rest) == 0:
		return c.status()
	case name == "drain" && len(rest) == 1:
		return c.drain(rest[0])
	case name == "history" && len(rest) == 0:
		return c.history()
	case name == "explain" && len(rest) > 1:
		return c.explain(rest[0], rest[1:])
	case name == "rollouts" && len(rest) > 0:
		return c.rollouts(rest)
	case name == "quarantine" && len(rest) > 0:
		return c.quarantine(rest)
	case name == "customers" && len(rest) > 0:
		return c.customers(rest)
	case name == "builds" && len(rest) > 0:
		return c.builds(rest)
	case name == "acquit" && len(rest) == 2:
		return c.acquit(rest[0], rest[1])
	case name == "losses" && len(rest) > 0:
		return c.losses(rest)
	case name == "config" && c.file != "":
		return c.checkConfiguration(c.file)
	case name == "rules" && len(rest) == 0:
		return c.rules()
	case name == "dump" && len(rest) == 0:
		return c.dump()
	}
	return process.ExitUsage, usageError(name)
}

// commandSyntax has the arguments and an example of each command that takes arguments.
var commandSyntax = map[string][2]string{
	"check":      {"-f FILE", "quincectl check -f examples/kalahari/fleet.toml"},
	"plan":       {"-f FILE", "quincectl -operators 127.0.0.1:21014 -token demo-operator plan -f examples/kalahari/fleet.toml"},
	"diff":       {"-f FILE", "quincectl -operators 127.0.0.1:21014 -token demo-operator diff -f examples/kalahari/fleet.toml"},
	"show":       {"PLAN", "quincectl -operators 127.0.0.1:21014 -token demo-operator show p-1"},
	"confirm":    {"PLAN", "quincectl -operators 127.0.0.1:21014 -token demo-operator confirm p-1"},
	"drain":      {"INSTANCE", "quincectl -operators 127.0.0.1:21014 -token demo-operator drain entry-1"},
	"explain":    {"ID FILE...", "quincectl explain 9c41d07be2a35f68 node-1.log node-2.log"},
	"rollouts":   {"ADDR...", "quincectl rollouts 10.0.0.4:9101 10.0.0.5:9101"},
	"quarantine": {"ADDR...", "quincectl quarantine 10.0.0.4:9101 10.0.0.5:9101"},
	"acquit":     {"FINGERPRINT ADDR", "quincectl acquit 9c41d07be2a35f68 10.0.0.4:9101"},
	"customers":  {"ADDR...", "quincectl customers 10.0.0.4:9101 10.0.0.5:9101"},
	"builds":     {"ADDR...", "quincectl builds 10.0.0.4:9101 10.0.0.5:9101"},
	"losses":     {"FILE...", "quincectl losses node-1.log node-2.log"},
	"config":     {"-f FILE", "quincectl config -f configuration.json"},
}

// usageError returns errUsage, with the command's usage where it is known.
func usageError(name string) error {
	if _, ok := commandSyntax[name]; !ok {
		return errUsage
	}
	return fmt.Errorf("%w\n%s", errUsage, commandUsage(name))
}

// commandUsage returns a command's usage line and example.
func commandUsage(name string) string {
	syntax, ok := commandSyntax[name]
	if !ok {
		return "usage: quincectl " + name
	}
	return fmt.Sprintf("usage: quincectl %s %s\nexample: %s", name, syntax[0], syntax[1])
}

// isHelp reports whether an argument is a help flag.
func isHelp(arg string) bool { return arg == "-h" || arg == "-help" || arg == "--help" }

func (c *client) check() (int, error) {
	if _, err := process.Load(c.file, settings.LoadFleet); err != nil {
		return process.ExitUsage, err
	}
	fmt.Fprintln(c.out, c.file, "is good")
	return process.ExitOK, nil
}

// call sends a request to the coord and returns its status. It decodes the body of a
// 2xx or 409 response into out and returns that of any other as an error.
func (c *client) call(method, path string, body []byte, out any) (int, error) {
	if c.addr == "" || c.token == "" {
		return 0, errors.New("-operators and -token are required")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addr + path)
	req.Header.Set(api.HeaderAuthorization, "Bearer "+c.token)
	req.SetBody(body)
	if err := web.NewClient().DoTimeout(req, resp, callTimeout); err != nil {
		return 0, fmt.Errorf("no answer from %s: %w; try another instance", c.addr, err)
	}
	status := resp.StatusCode()
	switch {
	case status == 422:
		return status, c.declarationError(resp.Body())
	case status >= 300 && status != 409:
		var e api.Error
		if err := json.Unmarshal(resp.Body(), &e); err != nil {
			return status, fmt.Errorf("status %d", status)
		}
		return status, &e
	}
	return status, json.Unmarshal(resp.Body(), out)
}

// declarationError returns the findings of a 422 response, under the name of the
// operator's file instead of the coord's name for it.
func (c *client) declarationError(body []byte) error {
	var findings settings.Findings
	if err := json.Unmarshal(body, &findings); err != nil {
		return err
	}
	for i := range findings {
		findings[i].File = c.file
	}
	return errors.New("invalid declaration:\n" + findings.Error())
}

func (c *client) plan(diffOnly bool) (int, error) {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return process.ExitUsage, err
	}
	var p api.Plan
	status, err := c.call("POST", "/v1/plans", text, &p)
	if status == 422 {
		return process.ExitUsage, err
	}
	if err != nil {
		return process.ExitFailure, err
	}
	return c.print(p, func() { c.printPlan(&p, diffOnly) })
}

func (c *client) show(id string) (int, error) {
	var p api.Plan
	if _, err := c.call("GET", "/v1/plans/"+id, nil, &p); err != nil {
		return process.ExitFailure, err
	}
	return c.print(p, func() { c.printPlan(&p, false) })
}

func (c *client) confirm(id string) (int, error) {
	var confirmed api.Confirmation
	if _, err := c.call("POST", "/v1/plans/"+id+"/confirm", nil, &confirmed); err != nil {
		return process.ExitFailure, err
	}
	code, err := c.print(confirmed, func() { c.printConfirmed(&confirmed) })
	switch {
	case err != nil:
		return code, err
	case confirmed.State == "confirmed":
		return c.follow(confirmed.Revision)
	case confirmed.State == "conflict":
		return exitConflict, nil
	case confirmed.State == "undetermined":
		return exitUndetermined, nil
	}
	return code, nil
}

// follow prints at how many instances a revision is in force, until that is so at every
// instance that is not dead or followTimeout has passed.
func (c *client) follow(revision uint64) (int, error) {
	for deadline := time.Now().Add(followTimeout); ; time.Sleep(followInterval) {
		var s api.Status
		if _, err := c.call("GET", "/v1/status", nil, &s); err != nil {
			return process.ExitFailure, err
		}
		applied, total := 0, 0
		for _, i := range s.Instances {
			if i.State == "dead" {
				continue
			}
			total++
			if i.Revision >= revision {
				applied++
			}
		}
		fmt.Fprintf(c.errOut, "revision %d is in force at %d of %d instances\n", revision, applied, total)
		if applied == total {
			return process.ExitOK, nil
		}
		if time.Now().After(deadline) {
			return process.ExitFailure, errors.New("not in force at every instance yet; see quincectl status")
		}
	}
}

func (c *client) drain(name string) (int, error) {
	var d api.DrainAnswer
	if _, err := c.call("POST", "/v1/instances/"+name+"/drain", nil, &d); err != nil {
		return process.ExitFailure, err
	}
	return c.print(d, func() {
		fmt.Fprintf(c.out, "%s takes no new callers; stop it once the address answers have expired\n", d.Instance)
	})
}

func (c *client) status() (int, error) {
	var s api.Status
	if _, err := c.call("GET", "/v1/status", nil, &s); err != nil {
		return process.ExitFailure, err
	}
	return c.print(s, func() { c.printStatus(&s) })
}

func (c *client) history() (int, error) {
	var s api.ActiveConfig
	if _, err := c.call("GET", "/v1/config", nil, &s); err != nil {
		return process.ExitFailure, err
	}
	return c.print(s.History, func() {
		for _, p := range s.History {
			fmt.Fprintf(c.out, "revision %d  plan %s  by %s\n", p.Revision, p.PlanID, p.By)
		}
	})
}

func (c *client) dump() (int, error) {
	var v json.RawMessage
	if _, err := c.call("GET", "/v1/state", nil, &v); err != nil {
		return process.ExitFailure, err
	}
	c.format = formatJSON
	return c.print(v, nil)
}

// print writes v as JSON if that is the output format; else it calls text.
func (c *client) print(v any, text func()) (int, error) {
	if c.format != formatJSON {
		text()
		return process.ExitOK, nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return process.ExitFailure, err
	}
	_, err = fmt.Fprintln(c.out, strings.TrimSpace(string(b)))
	return process.ExitOK, err
}
