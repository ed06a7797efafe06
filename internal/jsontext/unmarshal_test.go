package jsontext

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

type sample struct {
	Name  string           `json:"name"`
	Raw   json.RawMessage  `json:"raw,omitempty"`
	Count *float64         `json:"count"`
	Parts []sample         `json:"parts"`
	Inner *struct{ A int } `json:"inner"`
}

// Guards against a member that is taken for a field since its name differs in the case only.
func TestNamesOfMembersAreComparedExactly(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		`{"Name":"x"}`:          `{}`,
		`{"name":"a","NAME":7}`: `{"name":"a"}`,
		`{"NAME":7,"name":"a","other":[{"Name":1}]}`:   `{"name":"a"}`,
		"{\"na\\u006de\":\"a\",\"\u017fname\":1}":      `{"name":"a"}`,
		`{"Count":1,"count":2}`:                        `{"count":2}`,
		`{"parts":[{"Name":7},{"name":"b","nAme":7}]}`: `{"parts":[{},{"name":"b"}]}`,
		`{"Parts":[7],"parts":[]}`:                     `{"parts":[]}`,
		`{"parts":null,"raw":{"Raw":1}}`:               `{"raw":{"Raw":1}}`,
		`{ "Name" : 7 }`:                               `{}`,
	} {
		var got, expected sample
		if err := json.Unmarshal([]byte(want), &expected); err != nil {
			t.Fatal(err)
		}
		if err := Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, expected) {
			t.Errorf("%s: got %+v, error %v, want %+v", text, got, err, expected)
		}
	}
	for _, text := range []string{``, `{"Name":1`, `{"Name":1}x`, `[{"Name":1}`, `{"name":1}`, `{"parts":[{"name":1}]}`, `{"x":` + strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001) + `}`} {
		if err := Unmarshal([]byte(text), new(sample)); err == nil {
			t.Errorf("%.40s: got no error", text)
		}
	}
}

// FuzzUnmarshal compares with encoding/json, which agrees on texts in which no name is in capitals.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{`{"name":"a","parts":[{"count":1,"name":"b"}],"raw":[1],"inner":{"a":1}}`, `{"parts":[]}`, `[]`, `{"parts":{}}`, `null`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		lower := strings.ToLower(string(text))
		if strings.ContainsAny(lower, "\\\u017f\u212a") || strings.Contains(lower, "inner") {
			return
		}
		var got, want sample
		gotErr, wantErr := Unmarshal([]byte(lower), &got), json.Unmarshal([]byte(lower), &want)
		if (gotErr == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %+v, error %v, want %+v, error %v", lower, got, gotErr, want, wantErr)
		}
	})
}
