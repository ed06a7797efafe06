package contract_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// FuzzParse reads arbitrary bytes as a contract: either typed errors, or a
// contract within its ranges that is accepted again as it is.
func FuzzParse(f *testing.F) {
	hash := strings.Repeat("0a", 32)
	f.Add([]byte(`{"workspace":"w","keys":[{"id":"k","sha256":"` + hash + `"}]}`))
	f.Add([]byte(`{"workspace":"w","weight":1e9,"keys":[],"limits":{"requests_per_second":-1}}`))
	f.Add([]byte(`{"workspace":"w","keys":[{"id":"k","sha256":"` + hash + `"}],"routes":[{"class":"once-only","path_prefix":"/p"}],` +
		`"objectives":{"availability":0.999,"queue_time":{"milliseconds":5,"share":0.9}},"limits":{"allowance":{"units":1,"window_seconds":1}}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := contract.Parse(data)
		if err != nil {
			var errs strictjson.Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("untyped error %T %v", err, err)
			}
			return
		}
		if !(c.Weight >= 0.01 && c.Weight <= 1000) || c.Workspace == "" {
			t.Fatalf("accepted %+v", c)
		}
		_ = contract.Classify(c, "s", "m", "POST", "/p/x")
		again, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := contract.Parse(again); err != nil {
			t.Fatalf("an accepted contract is refused as written: %v\n%s", err, again)
		}
	})
}

// FuzzObjects reads arbitrary bytes as the platform's objects.
func FuzzObjects(f *testing.F) {
	f.Add([]byte(`{"id":"t","kind":"engine","address":"127.0.0.1:1","domain":"d","models":["m"],"concurrency":1}`))
	f.Add([]byte(`{"id":"r","peer_address":"127.0.0.1:1","domain":"d"}`))
	f.Add([]byte(`{"of":"target","id":"t"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if target, err := contract.ParseTarget(data); err == nil && (target.ID == "" || target.Concurrency < 0) {
			t.Fatalf("accepted %+v", target)
		}
		if router, err := contract.ParseRouter(data); err == nil && router.ID == "" {
			t.Fatalf("accepted %+v", router)
		}
		if drain, err := contract.ParseDrain(data); err == nil && drain.ID == "" {
			t.Fatalf("accepted %+v", drain)
		}
	})
}
