package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// ChangeKind is the kind of a change to a field.
type ChangeKind string

// Values of ChangeKind.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	// Path names the field, for example models[diary].current. List entries are
	// identified by their name or id.
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	Old  any        `json:"old,omitempty"`
	New  any        `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, compactJSON(c.New))
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, compactJSON(c.Old))
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, compactJSON(c.Old), compactJSON(c.New))
	}
}

func compactJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

// Diff returns the changes from a to b, ordered by path. A nil bundle counts as an empty
// one.
func Diff(a, b *Bundle) []Change {
	var out []Change
	diffValues("", jsonValue(a), jsonValue(b), &out)
	return out
}

// jsonValue returns the JSON form of b as decoded maps and lists.
func jsonValue(b *Bundle) any {
	if b == nil {
		return map[string]any{}
	}
	data, err := json.Marshal(b)
	if err != nil {
		return map[string]any{}
	}
	var out any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&out); err != nil {
		return map[string]any{}
	}
	return out
}

// diffValues appends the changes below path from a to b.
func diffValues(path string, a, b any, out *[]Change) {
	a, b = emptyAsNil(a), emptyAsNil(b)
	left, leftMap := fields(a)
	right, rightMap := fields(b)
	if _, list := b.([]any); list && a == nil {
		left, leftMap = nil, true
	}
	if _, list := a.([]any); list && b == nil {
		right, rightMap = nil, true
	}
	if !leftMap || !rightMap {
		diffLeaf(path, a, b, out)
		return
	}
	names := slices.Collect(maps.Keys(left))
	for name := range right {
		if _, both := left[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		diffValues(path+name, left[name], right[name], out)
	}
}

// emptyAsNil returns nil for an empty list, so that empty and absent lists are equal.
func emptyAsNil(v any) any {
	if list, ok := v.([]any); ok && len(list) == 0 {
		return nil
	}
	return v
}

func diffLeaf(path string, a, b any, out *[]Change) {
	path = trimDot(path)
	switch {
	case reflect.DeepEqual(a, b):
	case a == nil:
		*out = append(*out, Change{Path: path, Kind: Added, New: b})
	case b == nil:
		*out = append(*out, Change{Path: path, Kind: Removed, Old: a})
	default:
		*out = append(*out, Change{Path: path, Kind: Changed, Old: a, New: b})
	}
}

func trimDot(path string) string {
	if len(path) > 0 && path[0] == '.' {
		return path[1:]
	}
	return path
}

// fields returns the members of an object, or the entries of a list of objects that have
// a name or id. The keys include the separator of the path, as in ".name" and "[name]".
func fields(v any) (map[string]any, bool) {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for name, value := range v {
			out["."+name] = value
		}
		return out, true
	case []any:
		return namedEntries(v)
	}
	return nil, false
}

func namedEntries(list []any) (map[string]any, bool) {
	out := make(map[string]any, len(list))
	for _, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil, false
		}
		name, ok := object["name"].(string)
		if !ok {
			name, ok = object["id"].(string)
		}
		if !ok {
			return nil, false
		}
		out["["+name+"]"] = entry
	}
	return out, true
}
