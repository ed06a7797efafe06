package settings_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// FuzzParse parses arbitrary bytes as settings. Parse must return either field errors
// or settings that are accepted again when they are marshaled.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"fleet":"f","instance":"a","domain":"d","callers":{"address":"127.0.0.1:1"},` +
		`"admin":{"address":"127.0.0.1:2","token":"t"},"peer":{"address":"127.0.0.1:3"},"platform":{"url":"http://127.0.0.1:4"}}`))
	f.Add([]byte(`{"fleet":1,"peer":{"seeds":[{}]}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err != nil {
			requireFieldErrors(t, err)
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Parse(again); err != nil {
			t.Fatalf("Parse rejected accepted settings after marshaling: %v\n%s", err, again)
		}
	})
}

func requireFieldErrors(t *testing.T, err error) {
	t.Helper()
	var errs strictjson.Errors
	if !errors.As(err, &errs) || len(errs) == 0 {
		t.Fatalf("got error %T %v, want non-empty strictjson.Errors", err, err)
	}
}
