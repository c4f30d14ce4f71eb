// Package red holds patches that each take one mechanism out of the tree; run.sh
// shows that tests notice it.
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

// A patch beside whose lines the code has moved takes nothing out any more, and
// its tests prove nothing until somebody happens to run it.
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

// A patch whose tests were renamed runs none.
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

// declared reports whether a package's tests hold one of a name, or of the name
// before the first slash.
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
