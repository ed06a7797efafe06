package strictjson

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"
)

// field holds the rules of one struct field.
type field struct {
	name         string
	index        int
	typ          reflect.Type
	required     bool
	defaultValue string
	minimum      *float64
	maximum      *float64
	maxLength    *float64
	maxItems     *float64
	enum         []string
}

// rules holds the rules of the fields of a struct type, in declaration order and by
// JSON name.
type rules struct {
	ordered []field
	byName  map[string]field
}

// rulesByType caches the rules of struct types.
var rulesByType sync.Map

func rulesOf(t reflect.Type) *rules {
	if r, ok := rulesByType.Load(t); ok {
		return r.(*rules)
	}
	r := &rules{ordered: parseFields(t), byName: map[string]field{}}
	for _, f := range r.ordered {
		r.byName[f.name] = f
	}
	rulesByType.Store(t, r)
	return r
}

func parseFields(t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		sf := t.Field(i)
		name, opts, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if !sf.IsExported() || name == "" || name == "-" {
			continue
		}
		f := field{name: name, index: i, typ: sf.Type}
		f.required = !strings.Contains(opts, "omitempty") && !strings.Contains(opts, "omitzero")
		f.parseRules(sf.Tag.Get("jsonschema"))
		out = append(out, f)
	}
	return out
}

func (f *field) parseRules(tag string) {
	for rule := range strings.SplitSeq(tag, ",") {
		key, value, _ := strings.Cut(rule, "=")
		switch key {
		case "default":
			f.defaultValue = value
		case "minimum":
			f.minimum = parseBound(value)
		case "maximum":
			f.maximum = parseBound(value)
		case "maxLength":
			f.maxLength = parseBound(value)
		case "maxItems":
			f.maxItems = parseBound(value)
		case "enum":
			f.enum = append(f.enum, value)
		}
	}
}

// setDefaults sets the defaults of the fields whose paths are not present.
func setDefaults(v reflect.Value, path string, present map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			setDefaults(v.Elem(), path, present)
		}
	case reflect.Slice:
		for i := range v.Len() {
			setDefaults(v.Index(i), indexPath(path, i), present)
		}
	case reflect.Struct:
		for _, f := range rulesOf(v.Type()).ordered {
			fieldPath := joinPath(path, f.name)
			if f.defaultValue != "" && !present[fieldPath] {
				setDefault(v.Field(f.index), f.defaultValue)
			}
			setDefaults(v.Field(f.index), fieldPath, present)
		}
	}
}

// setDefault sets v to its default. It panics if the default in the struct tag is
// invalid for the type of the field, which the tests of the struct type detect.
func setDefault(v reflect.Value, defaultValue string) {
	var err error
	switch {
	case v.Kind() == reflect.String:
		v.SetString(defaultValue)
	case v.Kind() >= reflect.Uint && v.Kind() <= reflect.Uint64:
		var n uint64
		n, err = strconv.ParseUint(defaultValue, 10, 64)
		v.SetUint(n)
	case isInteger(v.Kind()):
		var n int64
		n, err = strconv.ParseInt(defaultValue, 10, 64)
		v.SetInt(n)
	default:
		var x float64
		x, err = strconv.ParseFloat(defaultValue, 64)
		v.SetFloat(x)
	}
	if err != nil {
		panic(err)
	}
}

// checker validates values against the rules of their fields.
type checker struct {
	errs    Errors
	present map[string]bool
}

func (c *checker) check(v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			c.check(v.Elem(), path)
		}
	case reflect.Slice:
		for i := range v.Len() {
			c.check(v.Index(i), indexPath(path, i))
		}
	case reflect.Struct:
		for _, f := range rulesOf(v.Type()).ordered {
			c.checkField(v.Field(f.index), f, joinPath(path, f.name))
		}
	}
}

func (c *checker) checkField(v reflect.Value, f field, path string) {
	isAbsent := v.IsZero() && !f.required && !c.present[path]
	if isAbsent {
		return
	}
	switch {
	case f.required && v.Kind() == reflect.String && v.Len() == 0:
		c.errs.Add(path, "is required")
	case len(f.enum) > 0 && !slices.Contains(f.enum, v.String()):
		c.errs.Add(path, "must be one of %s", strings.Join(f.enum, ", "))
	case f.maxLength != nil && float64(utf8.RuneCountInString(v.String())) > *f.maxLength:
		c.errs.Add(path, "must be at most %g characters", *f.maxLength)
	case f.maxItems != nil && float64(v.Len()) > *f.maxItems:
		c.errs.Add(path, "must have at most %g items", *f.maxItems)
	case f.minimum != nil && numberOf(v) < *f.minimum:
		c.errs.Add(path, "must be at least %s, not %v", formatNumber(*f.minimum), v.Interface())
	case f.maximum != nil && numberOf(v) > *f.maximum:
		c.errs.Add(path, "must be at most %s, not %v", formatNumber(*f.maximum), v.Interface())
	default:
		c.check(v, path)
	}
}

// parseBound parses a number in a struct tag. It panics if the text is not a number.
func parseBound(text string) *float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return &x
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func numberOf(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	case v.CanFloat():
		return v.Float()
	}
	return 0
}
