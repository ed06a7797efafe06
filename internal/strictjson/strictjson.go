// Package strictjson decodes JSON into tagged structs and rejects input that the struct
// does not describe: unknown and repeated fields, wrong types, missing required
// fields, and values outside the range of a field.
//
// The rules are defined by the struct tags from which the JSON Schema is generated. A
// field without omitempty or omitzero is required. The jsonschema tag may contain
// minimum, maximum, maxLength, maxItems, enum and default.
package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// FieldError describes an invalid field.
type FieldError struct {
	// Path is the path of the field, such as "keys[1].sha256". It is empty for the
	// whole text.
	Path string `json:"path"`
	// Message describes what is wrong with the field.
	Message string `json:"message"`
}

// Error implements error.
func (e FieldError) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Errors holds all invalid fields of an input.
type Errors []FieldError

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

// Add appends an error for the field at path.
func (e *Errors) Add(path, format string, args ...any) {
	*e = append(*e, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Err returns the errors, or nil if there are none.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Decode decodes data into the struct that v points to, sets the defaults of absent
// fields and validates each field. The error is of type Errors.
func Decode(data []byte, v any) error {
	return decode(data, v, &walker{})
}

// DecodeKnown is like Decode but ignores unknown fields. It is for objects whose
// writer may use a newer version of the format.
func DecodeKnown(data []byte, v any) error {
	return decode(data, v, &walker{allowUnknown: true})
}

func decode(data []byte, v any, w *walker) error {
	root, err := parse(data)
	if err != nil {
		return Errors{{Message: err.Error()}}
	}
	target := reflect.ValueOf(v).Elem()
	w.present = map[string]bool{}
	w.walk(root, target.Type(), "")
	if len(w.errs) > 0 {
		return w.errs
	}
	if err := json.Unmarshal(data, v); err != nil {
		return Errors{{Message: err.Error()}}
	}
	setDefaults(target, "", w.present)
	c := &checker{present: w.present}
	c.check(target, "")
	return c.errs.Err()
}

// Check validates the fields of the struct that v points to. An optional field with
// the zero value counts as absent. The error is of type Errors.
func Check(v any) error {
	c := &checker{}
	c.check(reflect.ValueOf(v).Elem(), "")
	return c.errs.Err()
}
