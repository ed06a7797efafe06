package platform

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// FuzzDecodeObjects decodes arbitrary responses in the place of lists and events: whatever
// other writers have left in the store must not end the router.
func FuzzDecodeObjects(f *testing.F) {
	for _, seed := range []string{
		`{"revision":9,"objects":[{"kind":"a","name":"b","version":7,"value":{"x":[1,"]"]}},{"value":"t\"x"}]}`,
		`{"revision":9,"events":[{"deleted":true,"object":{"name":"b","value":null}}]}`,
		`{"objects":null}`, `{"objects":[[]]}`, `{"objects":[{"value":1},`, `{"objects":"x","objects":[]}`, `[`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = defaultWire{}.Page(Call{}, body)
		_, _ = defaultWire{}.Events(Call{}, body)
	})
}

// FuzzElementDoesNotHarmOthers puts arbitrary bytes among the elements of lists and events.
func FuzzElementDoesNotHarmOthers(f *testing.F) {
	for _, odd := range oddElements {
		for place := range uint8(3) {
			f.Add([]byte(odd), place)
		}
	}
	f.Fuzz(func(t *testing.T, odd []byte, place uint8) { checkOtherElements(t, odd, int(place%3)) })
}

// Guards against an element that makes the other elements of its list, or the other events of its
// watch, unreadable, with elements of JSON and of parts of it.
func TestElementDoesNotHarmOthers(t *testing.T) {
	for place := range 3 {
		for _, odd := range append(oddElements, tooDeep, `{"name":"x","odd":`+tooDeep+`}`, `{"Name":7,"VERSION":`+tooDeep+`}`) {
			checkOtherElements(t, []byte(odd), place)
		}
	}
	parts := rapid.SampledFrom([]string{
		"{", "}", "[", "]", ",", ":", `"`, `\`, " ", "0", "7e", "null", "nul", `"x"`, `"name"`, `"object":`, `"revision":9`, "\xff", "\x00",
		`{"name":"x","version":1}`, `{"object":{"name":"x"}}`, `"value":[`, tooDeep, `"Name":7`,
	})
	rapid.Check(t, func(t *rapid.T) {
		odd := strings.Join(rapid.SliceOfN(parts, 0, 12).Draw(t, "parts"), "")
		checkOtherElements(t, []byte(odd), rapid.IntRange(0, 2).Draw(t, "place"))
	})
}

// oddElements are elements that are no objects of the store, or have odd members.
var oddElements = []string{
	`{"name":7}`, `{"Name":7,"VERSION":[]}`, `{"version":1e400}`, `{"object":7}`, "{\"name\":\"\xff\"}", `null`, `7`, `"x"`, `[]`, `[{"name":"x"}]`,
	``, `{`, `[`, `"`, `,`, `]`, `}`, `\`, `{"name":"x","value":[1`, `{"name":"x","value":"`, `{"name":"x"}]`, `1],"x":2`, `0],"q":[{"a":`,
	`{"name":"x","value":nul}`, `[0,{"x":1},{"y":[0`, `{"name":"x"},{`,
}

// checkOtherElements checks that two elements are read beside an odd one at a place among them.
func checkOtherElements(t interface{ Errorf(string, ...any) }, odd []byte, place int) {
	others := []Object{
		{Kind: "targets", Name: "first", Version: 3, Value: json.RawMessage(`{"x":[1,"]"]}`)},
		{Kind: "targets", Name: "last", Version: 4, Value: json.RawMessage(`"a,{"`)},
	}
	for array, format := range map[string]string{"objects": "%s", "events": `{"deleted":false,"object":%s}`} {
		var texts []string
		for _, o := range others {
			texts = append(texts, fmt.Sprintf(format, fmt.Sprintf(`{"kind":%q,"name":%q,"version":%d,"value":%s}`, o.Kind, o.Name, o.Version, o.Value)))
		}
		texts = slices.Insert(texts, place, string(odd))
		body := []byte(`{"` + array + `":[` + strings.Join(texts, ",") + `],"revision":9}`)
		if json.Valid(body) && !json.Valid(odd) {
			// The element closes the array and opens one that the others are in, which cannot be
			// told from the response's own.
			continue
		}
		got, revision, err := decodeResponse(array, body)
		for _, want := range others {
			isWanted := func(o Object) bool { return reflect.DeepEqual(o, want) }
			if err != nil || revision != 9 || !slices.ContainsFunc(got, isWanted) {
				t.Errorf("%.1000q: got %+v at revision %d, error %v, want %+v among them", body, got, revision, err, want)
			}
		}
	}
}

// decodeResponse decodes a list or, if the array has events, the response to a watch.
func decodeResponse(array string, body []byte) (objects []Object, revision uint64, err error) {
	if array == "objects" {
		page, err := defaultWire{}.Page(Call{}, body)
		return page.Objects, page.Revision, err
	}
	events, err := defaultWire{}.Events(Call{}, body)
	for _, e := range events.Events {
		objects = append(objects, e.Object)
	}
	return objects, events.Revision, err
}
