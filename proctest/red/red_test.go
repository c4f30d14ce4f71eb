// Package red checks the patches in this folder. Each removes one mechanism from the
// sources; run.sh shows that the tests which the patch names then fail.
package red

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testLine    = regexp.MustCompile(`(?m)^# test: (\S+)$`)
	packageLine = regexp.MustCompile(`(?m)^# package: (\S+)$`)
	comment     = regexp.MustCompile(`(?m)^# .*\n`)
)

const (
	root            = "../.."
	standardPackage = "./proctest/"
)

// A patch stops applying when the code around its lines changes. From then on it removes
// nothing and its tests prove nothing, which would go unnoticed until somebody runs it.
func TestPatchesApply(t *testing.T) {
	patches, err := filepath.Glob("*.patch")
	if err != nil || len(patches) == 0 {
		t.Fatalf("%d patches, %v", len(patches), err)
	}
	for _, name := range patches {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			check := exec.Command("git", "apply", "--check", "-")
			check.Dir = root
			check.Stdin = bytes.NewReader(comment.ReplaceAll(text, nil))
			if out, err := check.CombinedOutput(); err != nil {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}

// A patch that names renamed tests would run no test.
func TestPatchesNameTests(t *testing.T) {
	patches, err := filepath.Glob("*.patch")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range patches {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		tests := testLine.FindSubmatch(text)
		if tests == nil {
			t.Errorf("%s names no test", name)
			continue
		}
		folder := standardPackage
		if p := packageLine.FindSubmatch(text); p != nil {
			folder = string(p[1])
		}
		for test := range strings.SplitSeq(string(tests[1]), "|") {
			if !declared(t, filepath.Join(root, folder), test) {
				t.Errorf("%s: %s has no %s", name, folder, test)
			}
		}
	}
}

// declared reports whether a package declares a test. Of a subtest, only the test before
// the first slash is looked for.
func declared(t *testing.T, folder, test string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	name, _, _ := strings.Cut(test, "/")
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(text, []byte("func "+name+"(")) {
			return true
		}
	}
	return false
}
