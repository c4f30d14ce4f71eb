package settings

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Document is a decoded file; the lines of its keys are looked up when there is
// something to say of one.
type Document struct {
	File  string
	data  []byte
	lines map[string]int
	found Findings
}

// Decode reads data into the struct dst points to. The document collects what
// is wrong; dst holds a value only when Err returns nil.
func Decode(file string, data []byte, dst any) *Document {
	d := &Document{File: file, data: data}
	// Most files are good: one strict pass, with few allocations, says so.
	if toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(dst) == nil {
		return d
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		d.syntax(err)
		return d
	}
	d.walk("", tree, reflect.TypeOf(dst).Elem())
	if len(d.found) > 0 {
		return d
	}
	if err := toml.Unmarshal(data, dst); err != nil {
		d.syntax(err)
	}
	return d
}

// Add notes a finding at the line of key, or of the nearest part of it that is there.
func (d *Document) Add(key, format string, args ...any) {
	d.found = append(d.found, Finding{File: d.File, Line: d.line(key), Key: key, Text: fmt.Sprintf(format, args...)})
}

// Err returns the findings, or nil.
func (d *Document) Err() error { return d.found.Err() }

// Findings returns the findings so far.
func (d *Document) Findings() Findings { return d.found }

func (d *Document) syntax(err error) {
	var de *toml.DecodeError
	f := Finding{File: d.File, Text: err.Error()}
	if errors.As(err, &de) {
		f.Line, _ = de.Position()
		f.Key = strings.Join(de.Key(), ".")
	}
	d.found = append(d.found, f)
}

func (d *Document) line(key string) int {
	if d.lines == nil {
		d.lines = make(map[string]int)
		d.index(d.data)
	}
	for key != "" {
		if n, ok := d.lines[key]; ok {
			return n
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// index notes the line of each key under its path, such as "pipeline[1].stage[0].name".
func (d *Document) index(data []byte) {
	counts := make(map[string]int)
	prefix := ""
	breaks := lineBreaks(data)
	p := unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		it := e.Key()
		path, line := "", 0
		for it.Next() {
			path = join(path, string(it.Node().Data))
			line = lineAt(breaks, int(it.Node().Raw.Offset))
			if !it.IsLast() {
				path = element(path, counts)
			}
		}
		switch e.Kind {
		case unstable.Table:
			prefix = path
		case unstable.ArrayTable:
			counts[path]++
			prefix = element(path, counts)
		case unstable.KeyValue:
			path = join(prefix, path)
			d.lines[path] = line
			continue
		}
		d.lines[prefix] = line
	}
}

// lineBreaks returns the offsets of all line ends; the parser's own way to a
// line reads the file from its start, each time.
func lineBreaks(data []byte) []int {
	var out []int
	for i, b := range data {
		if b == '\n' {
			out = append(out, i)
		}
	}
	return out
}

func lineAt(breaks []int, offset int) int {
	i, _ := slices.BinarySearch(breaks, offset)
	return i + 1
}

// element names the latest element when path is an array of tables.
func element(path string, counts map[string]int) string {
	if n := counts[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// walk compares a decoded tree with the type it is meant for.
func (d *Document) walk(path string, v any, t reflect.Type) {
	switch t.Kind() {
	case reflect.Struct:
		d.walkStruct(path, v, t)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			d.Add(path, "wants a list, has %s", kindOf(v))
			return
		}
		for i, e := range list {
			d.walk(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
		}
	default:
		if !fits(v, t.Kind()) {
			d.Add(path, "wants %s, has %s", t.Kind(), kindOf(v))
		}
	}
}

func (d *Document) walkStruct(path string, v any, t reflect.Type) {
	tree, ok := v.(map[string]any)
	if !ok {
		d.Add(path, "wants a table, has %s", kindOf(v))
		return
	}
	fields := make(map[string]reflect.Type, t.NumField())
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("toml")
		fields[name] = t.Field(i).Type
		names = append(names, name)
	}
	for k, e := range tree {
		ft, ok := fields[k]
		switch hint := nearest(k, names); {
		case ok:
			d.walk(join(path, k), e, ft)
		case hint != "":
			d.Add(join(path, k), "unknown key; did you mean %q?", hint)
		default:
			d.Add(join(path, k), "unknown key")
		}
	}
}

func fits(v any, k reflect.Kind) bool {
	switch v.(type) {
	case string:
		return k == reflect.String
	case bool:
		return k == reflect.Bool
	case int64:
		return k == reflect.Int || k == reflect.Uint64 || k == reflect.Float64
	case float64:
		return k == reflect.Float64
	}
	return false
}

func kindOf(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprintf("%T", v)
}
