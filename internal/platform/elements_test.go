package platform

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that all runs check the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261205"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// tooDeep is nested more deeply than encoding/json accepts.
var tooDeep = strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)

// Guards against an object that cannot be decoded and makes all other objects of its list, or
// all changes beside it, unreadable.
func TestValueNestedTooDeeplyDoesNotHarmOtherObjects(t *testing.T) {
	t.Parallel()
	object := func(name, value string) string {
		return `{"kind":"targets","name":"` + name + `","version":7,"value":` + value + `}`
	}
	page, err := defaultWire{}.Page(Call{}, []byte(`{"revision":9,"objects":[`+object("a", tooDeep)+`,`+object("b", `{"x":1}`)+`]}`))
	if err != nil || len(page.Objects) != 2 || page.Revision != 9 || page.Objects[0].Name != "a" || string(page.Objects[0].Value) != tooDeep || string(page.Objects[1].Value) != `{"x":1}` {
		t.Errorf("list: got %d objects at revision %d, error %v, want both", len(page.Objects), page.Revision, err)
	}
	events, err := defaultWire{}.Events(Call{}, []byte(`{"revision":9,"events":[{"object":`+object("a", tooDeep)+`},{"deleted":true,"object":`+object("b", "null")+`}]}`))
	if err != nil || len(events.Events) != 2 || events.Events[0].Object.Name != "a" || !events.Events[1].Deleted || events.Events[1].Object.Name != "b" {
		t.Errorf("watch: got %d events, error %v, want both", len(events.Events), err)
	}
}

// Values that can be decoded are the same as if the response had been decoded as a whole, and
// a response that is no JSON, or ends early, is an error.
func TestDecodeObjectsAgreesWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := []any{nil, 1.5, true, "text \\ \" [{", "", []any{}, []any{map[string]any{"value": "x"}, 2.0}, map[string]any{"objects": []any{1.0}, "value": nil}}
		type response struct {
			Revision uint64   `json:"revision"`
			Objects  []Object `json:"objects"`
		}
		in := response{Revision: rapid.Uint64().Draw(t, "revision")}
		for range rapid.IntRange(0, 4).Draw(t, "objects") {
			raw, err := json.Marshal(rapid.SampledFrom(values).Draw(t, "value"))
			if err != nil {
				t.Fatal(err)
			}
			in.Objects = append(in.Objects, Object{Name: rapid.String().Draw(t, "name"), Version: rapid.Uint64().Draw(t, "version"), Value: raw})
		}
		body, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "indented") {
			if body, err = json.MarshalIndent(in, "", "  "); err != nil {
				t.Fatal(err)
			}
		}
		var want response
		if err := json.Unmarshal(body, &want); err != nil {
			t.Fatal(err)
		}
		page, err := defaultWire{}.Page(Call{}, body)
		if err != nil || page.Revision != want.Revision || len(page.Objects) != len(want.Objects) {
			t.Fatalf("got %+v, error %v, want %+v", page, err, want)
		}
		for i, o := range page.Objects {
			if !reflect.DeepEqual(o, want.Objects[i]) {
				t.Fatalf("object %d: got %+v, want %+v", i, o, want.Objects[i])
			}
		}
		for _, other := range []string{`7`, `{}`, `"x"`, `[],"objects":[]`} {
			if _, err := (defaultWire{}).Page(Call{}, []byte(`{"revision":9,"objects":`+other+`}`)); err == nil {
				t.Fatalf("objects %s: got no error", other)
			}
		}
		end := rapid.IntRange(0, len(body)-1).Draw(t, "end")
		if _, err := (defaultWire{}).Page(Call{}, body[:end]); err == nil {
			t.Fatalf("response that ends after %d of %d bytes: got no error", end, len(body))
		}
	})
}

// Guards against odd elements that take the router's processor for long, since parts of a response
// that is no JSON are scanned again and again.
func TestInvalidResponseIsSplitInLinearTime(t *testing.T) {
	t.Parallel()
	const elements = 100_000
	sound := `{"name":"last","value":1}`
	for name, odd := range map[string]string{
		"open arrays":        strings.Repeat(`{"a":[0,`, elements),
		"open elements":      strings.Repeat(`{"name":"x","value":[0,{"name":"b"},`, elements),
		"no delimiter":       strings.Repeat(`{"a":[0,`, elements) + "{}" + strings.Repeat("]}", elements) + "Z,",
		"closed arrays":      strings.Repeat(`[0,{}],`, elements),
		"near ends":          strings.Repeat("Z,", elements) + strings.Repeat(`[0,{}],`, 500),
		"open strings":       strings.Repeat(`"{,`, elements),
		"invalid and sound":  strings.Repeat(`nul,{"name":"b"},`, elements),
		"no elements":        strings.Repeat(`{"x":{}},Z,`, elements),
		"nested in a string": `"` + strings.Repeat(`,{\"a\":[0`, elements) + ",",
	} {
		start := time.Now()
		page, err := defaultWire{}.Page(Call{}, []byte(`{"objects":[`+odd+sound+`],"revision":9}`))
		isLast := func(o Object) bool { return o.Name == "last" && string(o.Value) == "1" }
		if err != nil || !slices.ContainsFunc(page.Objects, isLast) {
			t.Errorf("%s: got %d objects, error %v, want the last one among them", name, len(page.Objects), err)
		}
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("%s: took %v, want at most 5 s for some MB", name, took)
		}
	}
}
