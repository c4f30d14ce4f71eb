// Package proctest proves the promises of docs/PROOFS.md with real processes:
// each test causes a fault, then compares what callers were told with what the
// stand-ins journalled.
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

var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the binaries that the tests start.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "quince-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("QUINCE_RACE") != "" { // make race; needs a C compiler
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

// deploy starts an example with its declaration in force.
func deploy(t testing.TB, o rig.Options) *rig.Rig {
	t.Helper()
	r := start(t, o)
	if _, err := r.Confirm(r.Declaration); err != nil {
		t.Fatal(err)
	}
	return r
}

// start starts an example without a configuration. The logs of a failed test stay.
func start(t testing.TB, o rig.Options) *rig.Rig {
	t.Helper()
	dir, err := os.MkdirTemp("", "quince-test-")
	if err != nil {
		t.Fatal(err)
	}
	o.BinDir, o.OutputDir = bin, dir
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

// verdict fails the test for every broken promise.
func verdict(t testing.TB, r *rig.Rig, told []check.Told) {
	t.Helper()
	journal, err := r.Journal()
	if err != nil {
		t.Fatal(err)
	}
	found := check.All(r.Fleet, told, journal)
	t.Logf("%d answers, %d executions, %d violations", len(told), len(journal), len(found))
	for i, v := range found {
		if i == 10 {
			t.Fatalf("and %d more", len(found)-i)
		}
		t.Error(v)
	}
}

// must ends the test for an error that is not what it is about.
func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// executions counts what ran under one request id or input, by operation.
func executions(t testing.TB, r *rig.Rig, op string) int {
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

// waitExecutions waits until that many of an operation have begun.
func waitExecutions(t testing.TB, r *rig.Rig, op string, n int) {
	t.Helper()
	must(t, r.WaitUntil(fmt.Sprintf("%d executions of %s", n, op), func() bool { return executions(t, r, op) >= n }))
}

func caller(r *rig.Rig, customer int) *load.Caller {
	return load.NewCaller("key-"+r.Fleet.Customers[customer].Name, r.Fleet.Halls[0], r.Entries())
}

// raw sends a request as it stands and reads the error it gets.
func raw(t *testing.T, method, url, key, body string, ticket bool) (int, api.Error) {
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
