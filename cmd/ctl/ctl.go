// Package ctl is the operators' command line over the intent API.
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
  check -f FILE      check a declaration here, without asking anybody
  plan -f FILE       state an intent; answers with a plan, changes nothing
  show PLAN          print a plan
  confirm PLAN       put a plan into force, and wait until it is so at every instance
  diff -f FILE       what a declaration would change, without keeping a plan
  status             instances, replicas, and the revision in force at each
  drain INSTANCE     take an instance out of address answers until it is started again
  history            accepted revisions, newest first
  dump               the coord's state
  explain ID FILE... what the logs of any nodes say of a request, in order
  rollouts ADDR...   what nodes know of the roll-outs that are ordered, by their addresses for metrics
  quarantine ADDR... what nodes hold of requests that replicas have ended under, by their addresses for metrics
  acquit PRINT ADDR  let a condemned request be sent again; the node tells the others
  customers ADDR...  what became of customers' requests, who asks for how much of the pools and who is held to its share
  builds ADDR...     which build nodes run, what all understand, who is behind; by their addresses for metrics
  losses FILE...     what logs say of requests not served in time, by cause and time
  config -f FILE     check a configuration as it is written into the platform's store
  rules              what such a configuration is held against

examples:
  quincectl check -f examples/kalahari/fleet.toml
  quincectl -operators 127.0.0.1:21014 -token demo-operator plan -f examples/kalahari/fleet.toml
  quincectl -operators 127.0.0.1:21014 -token demo-operator status

The address and the token may come from QUINCE_OPERATORS and QUINCE_TOKEN.
exit codes: 0 done, 1 refused or failed, 2 bad arguments or declaration,
3 conflict: plan again, 4 undetermined: ask again

`

// The exit codes beside those of package process.
const (
	exitConflict     = 3
	exitUndetermined = 4
)

const (
	callTimeout = 10 * time.Second
	followFor   = 15 * time.Second
	followEvery = 300 * time.Millisecond
	jsonOut     = "json"
)

// client is one invocation.
type client struct {
	addr, token, format, file string
	out, errOut               io.Writer
}

// errUsage is a wrong command line.
var errUsage = errors.New("bad arguments; see quincectl -h")

// Main runs the command line and returns an exit code.
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
		fmt.Fprintln(c.out, callOf(name))
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
	return process.ExitUsage, usageOf(name)
}

// calls tells how each command that takes arguments is called, with an example.
var calls = map[string][2]string{
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

// usageOf is the error of a command that was called wrongly.
func usageOf(name string) error {
	if _, ok := calls[name]; !ok {
		return errUsage
	}
	return fmt.Errorf("%w\n%s", errUsage, callOf(name))
}

// callOf tells how a command is called.
func callOf(name string) string {
	call, ok := calls[name]
	if !ok {
		return "usage: quincectl " + name
	}
	return fmt.Sprintf("usage: quincectl %s %s\nexample: %s", name, call[0], call[1])
}

// isHelp reports whether an argument asks how a command is called.
func isHelp(arg string) bool { return arg == "-h" || arg == "-help" || arg == "--help" }

func (c *client) check() (int, error) {
	if _, err := process.Load(c.file, settings.LoadFleet); err != nil {
		return process.ExitUsage, err
	}
	fmt.Fprintln(c.out, c.file, "is good")
	return process.ExitOK, nil
}

// call makes one call and returns its status; out gets a body of status 2xx or 409.
func (c *client) call(method, path string, body []byte, out any) (int, error) {
	if c.addr == "" || c.token == "" {
		return 0, errors.New("-operators and -token are missing")
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
		return status, c.findings(resp.Body())
	case status >= 300 && status != 409:
		var e api.Error
		if err := json.Unmarshal(resp.Body(), &e); err != nil {
			return status, fmt.Errorf("status %d", status)
		}
		return status, &e
	}
	return status, json.Unmarshal(resp.Body(), out)
}

// findings names the file that the operator has, not what the coord calls it.
func (c *client) findings(body []byte) error {
	var found settings.Findings
	if err := json.Unmarshal(body, &found); err != nil {
		return err
	}
	for i := range found {
		found[i].File = c.file
	}
	return errors.New("the declaration is not good:\n" + found.Error())
}

func (c *client) plan(only bool) (int, error) {
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
	return c.print(p, func() { c.printPlan(&p, only) })
}

func (c *client) show(id string) (int, error) {
	var p api.Plan
	if _, err := c.call("GET", "/v1/plans/"+id, nil, &p); err != nil {
		return process.ExitFailure, err
	}
	return c.print(p, func() { c.printPlan(&p, false) })
}

func (c *client) confirm(id string) (int, error) {
	var done api.Confirmation
	if _, err := c.call("POST", "/v1/plans/"+id+"/confirm", nil, &done); err != nil {
		return process.ExitFailure, err
	}
	code, err := c.print(done, func() { c.printConfirmed(&done) })
	switch {
	case err != nil:
		return code, err
	case done.State == "confirmed":
		return c.follow(done.Revision)
	case done.State == "conflict":
		return exitConflict, nil
	case done.State == "undetermined":
		return exitUndetermined, nil
	}
	return code, nil
}

// follow shows how a revision comes into force, until it is so at every
// instance that is not dead, or for a while.
func (c *client) follow(revision uint64) (int, error) {
	for until := time.Now().Add(followFor); ; time.Sleep(followEvery) {
		var s api.Status
		if _, err := c.call("GET", "/v1/status", nil, &s); err != nil {
			return process.ExitFailure, err
		}
		there, all := 0, 0
		for _, i := range s.Instances {
			if i.State == "dead" {
				continue
			}
			all++
			if i.Revision >= revision {
				there++
			}
		}
		fmt.Fprintf(c.errOut, "revision %d is in force at %d of %d instances\n", revision, there, all)
		if there == all {
			return process.ExitOK, nil
		}
		if time.Now().After(until) {
			return process.ExitFailure, errors.New("not everywhere yet; see quincectl status")
		}
	}
}

func (c *client) drain(name string) (int, error) {
	var d api.DrainAnswer
	if _, err := c.call("POST", "/v1/instances/"+name+"/drain", nil, &d); err != nil {
		return process.ExitFailure, err
	}
	return c.print(d, func() {
		fmt.Fprintf(c.out, "%s takes no new callers; stop it once the address answers have run out\n", d.Instance)
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
	c.format = jsonOut
	return c.print(v, nil)
}

// print writes v as JSON, or calls text.
func (c *client) print(v any, text func()) (int, error) {
	if c.format != jsonOut {
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
