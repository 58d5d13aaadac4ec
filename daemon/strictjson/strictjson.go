// Package strictjson decodes JSON and rejects unknown fields, wrong types and trailing
// data with errors that name the field's path.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"sort"
	"strings"
)

// ErrTrailingData means that data follows the JSON value.
var ErrTrailingData = errors.New("data after the JSON value")

// FieldError names the path of a field and what is wrong with it.
type FieldError struct {
	Path   string
	Reason string
	// Err is the cause, or nil.
	Err error
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// Error returns "path: reason".
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// Decode parses data into v, a pointer to a struct with json tags. It returns the first
// problem as a *FieldError, which may wrap ErrTrailingData.
func Decode(data []byte, v any) error {
	var raw any
	if err := decodeValue(data, &raw); err != nil {
		return &FieldError{Reason: err.Error(), Err: err}
	}
	if err := checkFields("", raw, reflect.TypeOf(v).Elem()); err != nil {
		return err
	}
	return decodeTyped(data, v)
}

// decodeValue decodes data into raw and rejects data after the JSON value.
func decodeValue(data []byte, raw *any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(raw); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailingData
	}
	return nil
}

// decodeTyped decodes data into v and rejects values of the wrong type.
func decodeTyped(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{Path: jsonPath(typeErr.Field, reflect.TypeOf(v).Elem()), Reason: fmt.Sprintf("%s where %s is expected", typeErr.Value, typeErr.Type)}
	}
	if err != nil {
		return &FieldError{Reason: err.Error()}
	}
	return nil
}

// jsonPath removes the names of embedded structs from a path. encoding/json includes
// them although they do not occur in the JSON.
func jsonPath(path string, t reflect.Type) string {
	var kept []string
	for name := range strings.SplitSeq(path, ".") {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			kept = append(kept, name)
			continue
		}
		if f, ok := t.FieldByName(name); ok && f.Anonymous && f.Tag.Get("json") == "" {
			t = f.Type
			continue
		}
		kept = append(kept, name)
		if inner, ok := fieldTypes(t)[name]; ok {
			t = inner
		}
	}
	return strings.Join(kept, ".")
}

// checkFields compares raw with the type t and returns an error for the first key
// without a field.
func checkFields(path string, raw any, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := raw.(type) {
	case map[string]any:
		return checkKeys(path, value, t)
	case []any:
		if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
			return nil
		}
		for i, element := range value {
			if err := checkFields(fmt.Sprintf("%s[%d]", path, i), element, t.Elem()); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkKeys is checkFields for a JSON object.
func checkKeys(path string, value map[string]any, t reflect.Type) error {
	if t.Kind() == reflect.Map {
		for key, element := range value {
			if err := checkFields(join(path, key), element, t.Elem()); err != nil {
				return err
			}
		}
		return nil
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldTypes(t)
	keys := make([]string, 0, len(value))
	for key := range value {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		field, ok := fields[key]
		if !ok {
			return &FieldError{Path: join(path, key), Reason: "unknown field"}
		}
		if err := checkFields(join(path, key), value[key], field); err != nil {
			return err
		}
	}
	return nil
}

// fieldTypes returns the types of a struct's fields by JSON name, including those of
// embedded structs.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" {
			maps.Copy(fields, fieldTypes(f.Type))
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Type
	}
	return fields
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
