// Package strictjson decodes JSON into tagged structs and refuses whatever the
// struct does not describe: unknown and repeated fields, wrong types, missing
// required fields, and values outside the range of a field.
//
// Rules come from struct tags, the same ones that the JSON Schema is made of. A
// field without omitempty or omitzero is required. The jsonschema tag may hold
// minimum, maximum, maxLength, maxItems, enum and default.
package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// FieldError is a fault of one field.
type FieldError struct {
	// Path of the field, such as "keys[1].sha256"; empty for the whole text.
	Path string `json:"path"`
	// Message says what is wrong with it.
	Message string `json:"message"`
}

// Error implements error.
func (e FieldError) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Errors are all the faults found.
type Errors []FieldError

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

// Add notes a fault.
func (e *Errors) Add(path, format string, args ...any) {
	*e = append(*e, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Err returns nil where there are no faults.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Decode fills the struct that v points to from data, sets the defaults of the
// fields that data leaves out, and checks each field. The error is of type
// Errors.
func Decode(data []byte, v any) error {
	return decode(data, v, &walker{})
}

// DecodeKnown is Decode for objects of a foreign writer that may be newer: it
// ignores unknown fields.
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
	fill(target, "", w.present)
	c := &checker{present: w.present}
	c.check(target, "")
	return c.errs.Err()
}

// Check checks the fields of the struct that v points to. Optional fields that
// hold the zero value count as left out.
func Check(v any) error {
	c := &checker{}
	c.check(reflect.ValueOf(v).Elem(), "")
	return c.errs.Err()
}
