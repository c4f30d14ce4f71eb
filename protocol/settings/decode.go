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

// Document is a decoded file and the findings in it. The lines of its keys are
// determined only when there is a finding.
type Document struct {
	File     string
	data     []byte
	lines    map[string]int
	findings Findings
}

// Decode decodes data into the struct that dst points to. The returned document
// holds the findings; dst is valid only if its Err returns nil.
func Decode(file string, data []byte, dst any) *Document {
	d := &Document{File: file, data: data}
	// Most files are valid, which one strict pass with few allocations confirms.
	if toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(dst) == nil {
		return d
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.checkTree("", tree, reflect.TypeOf(dst).Elem())
	if len(d.findings) > 0 {
		return d
	}
	if err := toml.Unmarshal(data, dst); err != nil {
		d.addSyntaxError(err)
	}
	return d
}

// Add adds a finding at the line of key, or of the longest prefix of key that
// exists in the file.
func (d *Document) Add(key, format string, args ...any) {
	d.findings = append(d.findings, Finding{File: d.File, Line: d.lineOf(key), Key: key, Text: fmt.Sprintf(format, args...)})
}

// Err returns the findings, or nil.
func (d *Document) Err() error { return d.findings.Err() }

// Findings returns the findings so far.
func (d *Document) Findings() Findings { return d.findings }

func (d *Document) addSyntaxError(err error) {
	var de *toml.DecodeError
	f := Finding{File: d.File, Text: err.Error()}
	if errors.As(err, &de) {
		f.Line, _ = de.Position()
		f.Key = strings.Join(de.Key(), ".")
	}
	d.findings = append(d.findings, f)
}

func (d *Document) lineOf(key string) int {
	if d.lines == nil {
		d.lines = make(map[string]int)
		d.indexLines(d.data)
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

// indexLines records the line of each key under its path, such as
// "pipeline[1].stage[0].name".
func (d *Document) indexLines(data []byte) {
	counts := make(map[string]int)
	prefix := ""
	breaks := lineEndOffsets(data)
	p := unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		it := e.Key()
		path, line := "", 0
		for it.Next() {
			path = joinKey(path, string(it.Node().Data))
			line = lineAt(breaks, int(it.Node().Raw.Offset))
			if !it.IsLast() {
				path = latestElement(path, counts)
			}
		}
		switch e.Kind {
		case unstable.Table:
			prefix = path
		case unstable.ArrayTable:
			counts[path]++
			prefix = latestElement(path, counts)
		case unstable.KeyValue:
			path = joinKey(prefix, path)
			d.lines[path] = line
			continue
		}
		d.lines[prefix] = line
	}
}

// lineEndOffsets returns the offsets of all line ends. The parser's own line
// lookup scans the file from its start each time.
func lineEndOffsets(data []byte) []int {
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

// latestElement returns the path of the latest element if path is an array of
// tables, otherwise path itself.
func latestElement(path string, counts map[string]int) string {
	if n := counts[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// checkTree compares a decoded value with the type that it is decoded into.
func (d *Document) checkTree(path string, v any, t reflect.Type) {
	switch t.Kind() {
	case reflect.Struct:
		d.checkStruct(path, v, t)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			d.Add(path, "expected a list, got %s", tomlType(v))
			return
		}
		for i, e := range list {
			d.checkTree(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
		}
	default:
		if !isAssignable(v, t.Kind()) {
			d.Add(path, "expected %s, got %s", t.Kind(), tomlType(v))
		}
	}
}

func (d *Document) checkStruct(path string, v any, t reflect.Type) {
	tree, ok := v.(map[string]any)
	if !ok {
		d.Add(path, "expected a table, got %s", tomlType(v))
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
		switch hint := closestName(k, names); {
		case ok:
			d.checkTree(joinKey(path, k), e, ft)
		case hint != "":
			d.Add(joinKey(path, k), "unknown key; did you mean %q?", hint)
		default:
			d.Add(joinKey(path, k), "unknown key")
		}
	}
}

func isAssignable(v any, k reflect.Kind) bool {
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

func tomlType(v any) string {
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
