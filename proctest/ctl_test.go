package proctest

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"quinceroad/cmd/ctl"
	"quinceroad/proctest/rig"
)

// runCtl runs quincectl against an instance and returns its exit code and output.
func runCtl(in *rig.Instance, args ...string) (int, string) {
	var out bytes.Buffer
	all := append([]string{"-operators", in.Settings.Coord.Operators, "-token", "demo-operator"}, args...)
	code := ctl.Main(all, &out, &out)
	return code, out.String()
}

// Runs the commands of docs/OPERATIONS.md from the check of a declaration to the
// drain of an instance.
func TestCommandLine(t *testing.T) {
	r := start(t, rig.Options{ExampleDir: kalahari})
	in, other := r.Instances[0], r.Instances[3]
	dir := t.TempDir()
	file := filepath.Join(dir, "fleet.toml")
	must(t, os.WriteFile(file, []byte(r.Declaration), 0o600))
	broken := filepath.Join(dir, "broken.toml")
	must(t, os.WriteFile(broken, []byte(strings.Replace(r.Declaration, "shed = 2.0", "shedd = 2.0", 1)), 0o600))

	run := func(in *rig.Instance, wantCode int, want string, args ...string) string {
		t.Helper()
		code, out := runCtl(in, args...)
		if code != wantCode || !strings.Contains(out, want) {
			t.Fatalf("%v: exit code %d, %s\nwant %d and %q", args, code, out, wantCode, want)
		}
		return out
	}
	run(in, 0, "is good", "check", "-f", file)
	run(in, 2, `did you mean "shed"`, "check", "-f", broken)
	run(in, 2, broken+":9: shedd", "plan", "-f", broken)
	out := run(in, 0, "nothing has changed yet", "plan", "-f", file)
	id := regexp.MustCompile(`quincectl confirm (\w+)`).FindStringSubmatch(out)[1]
	rival := regexp.MustCompile(`quincectl confirm (\w+)`).FindStringSubmatch(run(other, 0, "confirm", "plan", "-f", file))[1]
	run(other, 0, "plan "+id, "show", id)
	run(in, 0, "in force at 6 of 6", "confirm", id)
	run(other, 3, "conflict", "confirm", rival)
	must(t, r.WaitRevision(1))
	run(other, 0, "unchanged", "plan", "-f", file)
	run(other, 0, "revision 1", "history")
	run(in, 0, "hall-a-1", "status")
	run(in, 0, `"slots"`, "dump")
	run(in, 1, "no_such_instance", "drain", "nobody")
	run(in, 0, "takes no new callers", "drain", other.Name)
	must(t, r.WaitUntil("address answers without the drained instance", func() bool {
		a, err := newCaller(r, 0).Addresses()
		must(t, err)
		for _, x := range a.Addresses {
			if x.Instance == other.Name {
				return false
			}
		}
		_, status := runCtl(in, "status")
		return regexp.MustCompile(other.Name + `\s+\S+\s+alive\s+true`).MatchString(status)
	}))
	run(in, 1, "bad_token", "-token", "nobody", "status")
	run(in, 2, "bad arguments", "frobnicate")
}
