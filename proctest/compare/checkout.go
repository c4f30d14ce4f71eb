package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// checkout is a folder with the sources of a variant.
type checkout struct {
	dir    string
	digest string // of the sources; reports of other sources are not used for them
}

// checkOut creates a git worktree with the sources of a variant, or returns the
// existing one.
func checkOut(v *Variant, folder string) (*checkout, error) {
	if v.Tree != "" {
		return &checkout{dir: v.Tree, digest: "tree"}, nil
	}
	revision := v.Revision
	if revision == "" {
		revision = "HEAD"
	}
	commit, err := runCommand("", "git", "rev-parse", "--verify", revision+"^{commit}")
	if err != nil {
		return nil, fmt.Errorf("way %s: %w", v.Name, err)
	}
	sum := sha256.New()
	sum.Write([]byte(commit))
	if v.Patch != "" {
		patch, err := os.ReadFile(v.Patch)
		if err != nil {
			return nil, fmt.Errorf("way %s: %w", v.Name, err)
		}
		sum.Write(patch)
	}
	fmt.Fprint(sum, v.Edits)
	const shown = 6 // bytes of the digest, enough to distinguish sources
	digest := hex.EncodeToString(sum.Sum(nil)[:shown])
	dir, err := filepath.Abs(filepath.Join(folder, "ways", digest))
	if err != nil {
		return nil, err
	}
	c := &checkout{dir: dir, digest: digest}
	if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
		return c, nil // created by an earlier call
	}
	if err := c.create(v, commit); err != nil {
		_ = os.RemoveAll(dir) // an incomplete checkout must not be used by the next call
		_, _ = runCommand("", "git", "worktree", "prune")
		return nil, fmt.Errorf("way %s: %w", v.Name, err)
	}
	return c, nil
}

func (c *checkout) create(v *Variant, commit string) error {
	if _, err := runCommand("", "git", "worktree", "add", "--detach", "--force", c.dir, commit); err != nil {
		return err
	}
	if v.Patch != "" {
		if _, err := runCommand(c.dir, "git", "apply", v.Patch); err != nil {
			return err
		}
	}
	for _, r := range v.Edits {
		if err := r.apply(c.dir); err != nil {
			return err
		}
	}
	return nil
}

// apply applies an edit. It is an error if the file doesn't contain the text
// exactly once.
func (r Edit) apply(dir string) error {
	name := filepath.Join(dir, r.File)
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), r.From); n != 1 {
		return fmt.Errorf("%s contains %q %d times, want once", r.File, r.From, n)
	}
	return os.WriteFile(name, []byte(strings.Replace(string(text), r.From, r.To, 1)), 0o600)
}

// runCommand runs a command in a folder and returns its standard output.
func runCommand(dir, name string, args ...string) (string, error) {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, strings.TrimSpace(errOut.String()))
	}
	return strings.TrimSpace(out.String()), nil
}
