package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
)

// walker validates the structure and the types of a JSON value against the Go type
// into which it is decoded. It records the paths that are present.
type walker struct {
	errs         Errors
	present      map[string]bool
	allowUnknown bool
}

func (w *walker) walk(n node, t reflect.Type, path string) {
	w.present[path] = true
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		w.walkStruct(n, t, path)
	case reflect.Slice:
		w.walkSlice(n, t, path)
	default:
		w.walkScalar(n, t, path)
	}
}

func (w *walker) walkStruct(n node, t reflect.Type, path string) {
	if n.delim != '{' {
		w.errs.Add(path, "must be an object, not %s", n.kind())
		return
	}
	seen := map[string]bool{}
	fields := rulesOf(t)
	for _, m := range n.members {
		fieldPath := joinPath(path, m.name)
		f, known := fields.byName[m.name]
		switch {
		case seen[m.name]:
			w.errs.Add(fieldPath, "is given twice")
		case !known && w.allowUnknown:
		case !known:
			w.errs.Add(fieldPath, "unknown field")
		default:
			w.walk(m.node, f.typ, fieldPath)
		}
		seen[m.name] = true
	}
	for _, f := range fields.ordered {
		if f.required && !seen[f.name] {
			w.errs.Add(joinPath(path, f.name), "is required")
		}
	}
}

func (w *walker) walkSlice(n node, t reflect.Type, path string) {
	if n.delim != '[' {
		w.errs.Add(path, "must be an array, not %s", n.kind())
		return
	}
	for i, item := range n.items {
		w.walk(item, t.Elem(), indexPath(path, i))
	}
}

func (w *walker) walkScalar(n node, t reflect.Type, path string) {
	var ok bool
	want := "string"
	switch t.Kind() {
	case reflect.String:
		_, ok = n.scalar.(string)
	case reflect.Bool:
		want = "boolean"
		_, ok = n.scalar.(bool)
	default:
		want = "number"
		if isInteger(t.Kind()) {
			want = "whole number in range"
		}
		ok = fitsNumber(n.scalar, t)
	}
	if !ok {
		w.errs.Add(path, "must be a %s, not %s", want, describe(n))
	}
}

// describe returns a description of the value for error messages. It omits the content
// of strings, which may be secret.
func describe(n node) string {
	if num, ok := n.scalar.(json.Number); ok {
		return num.String()
	}
	return n.kind()
}

func fitsNumber(scalar any, t reflect.Type) bool {
	num, ok := scalar.(json.Number)
	if !ok {
		return false
	}
	var err error
	switch {
	case t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uint64:
		_, err = strconv.ParseUint(num.String(), 10, t.Bits())
	case isInteger(t.Kind()):
		_, err = strconv.ParseInt(num.String(), 10, t.Bits())
	default:
		_, err = strconv.ParseFloat(num.String(), t.Bits())
	}
	return err == nil
}

func isInteger(k reflect.Kind) bool { return k >= reflect.Int && k <= reflect.Uint64 }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
