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

// checkout is a way's sources, ready to be played.
type checkout struct {
	dir    string
	digest string // of what is played: results of other sources aren't taken for it
}

// prepare puts a way's sources into a folder of their own: a worktree of git.
func prepare(w *Variant, folder string) (*checkout, error) {
	if w.Tree != "" {
		return &checkout{dir: w.Tree, digest: "tree"}, nil
	}
	revision := w.Revision
	if revision == "" {
		revision = "HEAD"
	}
	commit, err := run("", "git", "rev-parse", "--verify", revision+"^{commit}")
	if err != nil {
		return nil, fmt.Errorf("way %s: %w", w.Name, err)
	}
	sum := sha256.New()
	sum.Write([]byte(commit))
	if w.Patch != "" {
		patch, err := os.ReadFile(w.Patch)
		if err != nil {
			return nil, fmt.Errorf("way %s: %w", w.Name, err)
		}
		sum.Write(patch)
	}
	fmt.Fprint(sum, w.Edits)
	const shown = 6 // bytes of the digest, enough to tell sources apart
	digest := hex.EncodeToString(sum.Sum(nil)[:shown])
	dir, err := filepath.Abs(filepath.Join(folder, "ways", digest))
	if err != nil {
		return nil, err
	}
	c := &checkout{dir: dir, digest: digest}
	if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
		return c, nil // made by an earlier call
	}
	if err := c.make(w, commit); err != nil {
		_ = os.RemoveAll(dir) // half made: it must not be taken for whole
		_, _ = run("", "git", "worktree", "prune")
		return nil, fmt.Errorf("way %s: %w", w.Name, err)
	}
	return c, nil
}

func (c *checkout) make(w *Variant, commit string) error {
	if _, err := run("", "git", "worktree", "add", "--detach", "--force", c.dir, commit); err != nil {
		return err
	}
	if w.Patch != "" {
		if _, err := run(c.dir, "git", "apply", w.Patch); err != nil {
			return err
		}
	}
	for _, r := range w.Edits {
		if err := r.apply(c.dir); err != nil {
			return err
		}
	}
	return nil
}

// apply makes an edit; a text that isn't there, or is there twice, is an error.
func (r Edit) apply(dir string) error {
	name := filepath.Join(dir, r.File)
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), r.From); n != 1 {
		return fmt.Errorf("%s holds %q %d times, not once", r.File, r.From, n)
	}
	return os.WriteFile(name, []byte(strings.Replace(string(text), r.From, r.To, 1)), 0o600)
}

// run runs a command in a folder and returns what it printed.
func run(dir, name string, args ...string) (string, error) {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, strings.TrimSpace(errOut.String()))
	}
	return strings.TrimSpace(out.String()), nil
}
