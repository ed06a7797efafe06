package jsontext

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// FuzzSkip compares with encoding/json what is a value and where it ends.
func FuzzSkip(f *testing.F) {
	for _, seed := range []string{
		`{"a":[1,-0.5e+3,"x\"\\é ",{}],"b":{"":null}}`, ` [ ] `, `[1,]`, `{"a":1,}`, `{,}`, `01`, `1.`, `-`, `1e`, `nul`, `"\x"`, `"\u12g4"`,
		"\"\x01\"", "\"\xff\"", `"`, `{"a" 1}`, `{1:2}`, `[}`, `{]`, `[1 2]`, `tru`, `truex`, ``, ` `, `[[]`, "{\"a\"\t:\n1\r}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		end, err := Skip(text, 0)
		isValue := err == nil && SkipSpace(text, end) == len(text)
		if want := json.Valid(text); isValue != want {
			t.Fatalf("%q: got end %d, error %v, want a value: %v", text, end, err, want)
		}
		if err == nil && !json.Valid(text[:end]) {
			t.Fatalf("%q: no value ends at %d", text, end)
		}
	})
}

func TestSkipHasNoLimitOfDepth(t *testing.T) {
	t.Parallel()
	const levels = 100_000
	text := strings.Repeat(`[{"a":`, levels) + "1" + strings.Repeat("}]", levels)
	if end, err := Skip([]byte(text+",2"), 0); err != nil || end != len(text) {
		t.Errorf("got end %d, error %v, want %d", end, err, len(text))
	}
}

func TestMembersAreReadInOrderUntilAnError(t *testing.T) {
	t.Parallel()
	const whole = ` { "a\u0062" : [1] ,"AB":"x", "":{} }`
	for text, wantEnd := range map[string]int{whole + "]": len(whole), strings.TrimSuffix(whole, "}"): 0, whole[:len(whole)-2] + ",}": 0} {
		var got []string
		end, err := Members([]byte(text), 0, func(name string, at int) (int, error) {
			end, err := Skip([]byte(text), at)
			got = append(got, name+"="+text[at:end])
			return end, err
		})
		if want := []string{"ab=[1]", `AB="x"`, "={}"}; !slices.Equal(got, want) || end != wantEnd || (err == nil) != (wantEnd > 0) {
			t.Errorf("%s: got %q until %d, error %v, want %q until %d", text, got, end, err, want, wantEnd)
		}
	}
}
