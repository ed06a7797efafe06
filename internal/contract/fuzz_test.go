package contract_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// FuzzParse parses arbitrary bytes as a contract. Parse must return either field
// errors or a contract within its ranges, which must be accepted again when it is
// marshaled.
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
				t.Fatalf("got error %T %v, want non-empty strictjson.Errors", err, err)
			}
			return
		}
		if !(c.Weight >= 0.01 && c.Weight <= 1000) || c.Workspace == "" {
			t.Fatalf("accepted contract %+v, want a weight of 0.01 to 1000 and a workspace", c)
		}
		_ = contract.Classify(c, "s", "m", "POST", "/p/x")
		again, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := contract.Parse(again); err != nil {
			t.Fatalf("Parse rejected an accepted contract after marshaling: %v\n%s", err, again)
		}
	})
}

// FuzzObjects parses arbitrary bytes as the objects that the platform lists. Accepted
// objects must have an id, and targets a concurrency that is not negative.
func FuzzObjects(f *testing.F) {
	f.Add([]byte(`{"id":"t","kind":"engine","address":"127.0.0.1:1","domain":"d","models":["m"],"concurrency":1}`))
	f.Add([]byte(`{"id":"r","peer_address":"127.0.0.1:1","domain":"d"}`))
	f.Add([]byte(`{"of":"target","id":"t"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if target, err := contract.ParseTarget(data); err == nil && (target.ID == "" || target.Concurrency < 0) {
			t.Fatalf("accepted target %+v, want an id and a concurrency of at least 0", target)
		}
		if router, err := contract.ParseRouter(data); err == nil && router.ID == "" {
			t.Fatalf("accepted router %+v, want an id", router)
		}
		if drain, err := contract.ParseDrain(data); err == nil && drain.ID == "" {
			t.Fatalf("accepted drain %+v, want an id", drain)
		}
	})
}
