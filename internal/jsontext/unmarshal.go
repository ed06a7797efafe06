package jsontext

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Unmarshal decodes a JSON text as encoding/json does, but compares the names of members with the
// tags of fields exactly: one that differs in its case is unknown, and ignored.
func Unmarshal(text []byte, v any) error {
	if end, err := Skip(text, 0); err == nil && SkipSpace(text, end) == len(text) {
		text, _ = withoutFolded(text, reflect.TypeOf(v))
	}
	return json.Unmarshal(text, v)
}

// withoutFolded returns a value without the members that encoding/json would take for a field of t
// although their names differ in case, and whether there were any.
func withoutFolded(text []byte, t reflect.Type) (out []byte, isChanged bool) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		return text, false
	}
	switch start := SkipSpace(text, 0); {
	case text[start] == '{' && t.Kind() == reflect.Struct:
		out, isChanged = objectWithoutFolded(text, t)
	case text[start] == '[' && t.Kind() == reflect.Slice:
		out, isChanged = arrayWithoutFolded(text, start, t.Elem())
	}
	if !isChanged {
		return text, false
	}
	return out, true
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func objectWithoutFolded(text []byte, t reflect.Type) (out []byte, isChanged bool) {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
	}
	out = []byte{'{'}
	_, err := Members(text, 0, func(name string, at int) (int, error) {
		end, err := Skip(text, at)
		if err != nil {
			return 0, err
		}
		field, isField := fields[name]
		if !isField && isFolded(name, fields) {
			isChanged = true
			return end, nil
		}
		value := text[at:end]
		if isField {
			var isValueChanged bool
			value, isValueChanged = withoutFolded(value, field)
			isChanged = isChanged || isValueChanged
		}
		quoted, err := json.Marshal(name)
		out = append(append(append(append(out, quoted...), ':'), value...), ',')
		return end, err
	})
	if err != nil {
		return text, false
	}
	return closed(out, '}'), isChanged
}

// isFolded reports whether a name equals that of a field but for its case.
func isFolded(name string, fields map[string]reflect.Type) bool {
	for field := range fields {
		if strings.EqualFold(name, field) {
			return true
		}
	}
	return false
}

func arrayWithoutFolded(text []byte, at int, element reflect.Type) (out []byte, isChanged bool) {
	out = []byte{'['}
	for {
		start := SkipSpace(text, at+1)
		end, err := Skip(text, start)
		if err != nil {
			// The array has no elements.
			return text, false
		}
		value, isValueChanged := withoutFolded(text[start:end], element)
		isChanged = isChanged || isValueChanged
		out = append(append(out, value...), ',')
		if at = SkipSpace(text, end); text[at] != ',' {
			return closed(out, ']'), isChanged
		}
	}
}

// closed replaces the comma after the last value, if any, by the end of an object or array.
func closed(out []byte, end byte) []byte {
	if out[len(out)-1] == ',' {
		out = out[:len(out)-1]
	}
	return append(out, end)
}
