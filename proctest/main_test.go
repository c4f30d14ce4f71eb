// Package proctest verifies the guarantees of docs/PROOFS.md (P1 to P9) with real
// processes: each test injects a fault, then compares the answers that callers
// received with the executions that the stand-ins recorded in their journal.
package proctest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"quinceroad/protocol/api"
	"strings"
	"testing"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/proctest/rig"
)

var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the binaries that the tests start, then runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "quince-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("QUINCE_RACE") != "" { // set by make race; the race detector needs a C compiler
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

const (
	kalahari = "../examples/kalahari"
	midlands = "../examples/midlands"
)

// deploy starts an example deployment and applies its declaration.
func deploy(t testing.TB, o rig.Options) *rig.Rig {
	t.Helper()
	r := start(t, o)
	if _, err := r.Confirm(r.Declaration); err != nil {
		t.Fatal(err)
	}
	return r
}

// start starts an example deployment without a configuration. If the test
// fails, its logs are kept.
func start(t testing.TB, o rig.Options) *rig.Rig {
	t.Helper()
	dir, err := os.MkdirTemp("", "quince-test-")
	if err != nil {
		t.Fatal(err)
	}
	o.BinDir, o.OutputDir = binDir, dir
	r, err := rig.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		crashes, err := r.CrashLines()
		if err != nil {
			t.Error(err)
		}
		for _, c := range crashes {
			t.Error(c)
		}
		if t.Failed() {
			t.Log("logs are in", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return r
}

// checkGuarantees reports a test error for every violated guarantee.
func checkGuarantees(t testing.TB, r *rig.Rig, answers []check.Response) {
	t.Helper()
	journal, err := r.Journal()
	if err != nil {
		t.Fatal(err)
	}
	violations := check.All(r.Fleet, answers, journal)
	t.Logf("%d answers, %d executions, %d violations", len(answers), len(journal), len(violations))
	for i, v := range violations {
		if i == 10 {
			t.Fatalf("and %d more", len(violations)-i)
		}
		t.Error(v)
	}
}

// must ends the test if err is not nil. It is for calls that the test itself
// does not examine.
func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// countExecutions returns the number of executions of an operation in the journal.
func countExecutions(t testing.TB, r *rig.Rig, op string) int {
	t.Helper()
	journal, err := r.Journal()
	must(t, err)
	n := 0
	for _, x := range journal {
		if x.Op == op {
			n++
		}
	}
	return n
}

// waitForExecutions waits until at least n executions of an operation
// have begun.
func waitForExecutions(t testing.TB, r *rig.Rig, op string, n int) {
	t.Helper()
	must(t, r.WaitUntil(fmt.Sprintf("%d executions of %s", n, op), func() bool { return countExecutions(t, r, op) >= n }))
}

func newCaller(r *rig.Rig, customer int) *load.Caller {
	return load.NewCaller("key-"+r.Fleet.Customers[customer].Name, r.Fleet.Halls[0], r.Entries())
}

// sendRaw sends a request with the given body and returns the status and error
// of its response.
func sendRaw(t *testing.T, method, url, key, body string, ticket bool) (int, api.Error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	must(t, err)
	if key != "" {
		req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	}
	if ticket {
		req.Header.Set(api.HeaderTicket, "AAAA.1")
	}
	resp, err := http.DefaultClient.Do(req)
	must(t, err)
	defer resp.Body.Close()
	var e api.Error
	must(t, json.NewDecoder(resp.Body).Decode(&e))
	return resp.StatusCode, e
}
