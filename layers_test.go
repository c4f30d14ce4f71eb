// Package quinceroad holds the tests of the tree as a whole.
package quinceroad

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// layers in the order of imports: a package may import its own layer and those after it.
var layers = []string{"proctest", "cmd", "platform", "transport", "protocol", "coordination", "state"}

func TestImportsGoDownwards(t *testing.T) {
	is := is.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || !strings.Contains(path, "/") {
			return err
		}
		if strings.HasPrefix(path, "platform/") && strings.HasSuffix(path, "_test.go") {
			return nil // tests of the whole system before stand-ins of the platform
		}
		files++
		from := slices.Index(layers, strings.Split(path, "/")[0])
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			rest, ours := strings.CutPrefix(name, "quinceroad/")
			if to := slices.Index(layers, strings.Split(rest, "/")[0]); ours && (from < 0 || to < from) {
				t.Errorf("%s imports %s, which is above it", path, name)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(files > 50) // the walk saw the tree
}

// Decisions are pure: no I/O, no goroutines, no clock, no random source of their own.
func TestDecisionsArePure(t *testing.T) {
	banned := []string{"net", "net/http", "os", "io", "context", "sync/atomic", "log"}
	err := filepath.WalkDir("coordination", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			if name, _ := strconv.Unquote(i.Path.Value); slices.Contains(banned, name) {
				t.Errorf("%s imports %s", path, name)
			}
		}
		return nil
	})
	is.New(t).NoErr(err)
}
