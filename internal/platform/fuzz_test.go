package platform

import "testing"

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
