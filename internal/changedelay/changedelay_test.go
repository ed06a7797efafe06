package changedelay_test

import (
	"strings"
	"testing"

	"github.com/umberhill/umberhill/internal/changedelay"
)

const logs = `
  -1.000 front-1 {"msg":"router started","time":"2026-12-06T05:00:00Z","instance":"front-1"}
  -1.000 front-2 {"msg":"router started","time":"2026-12-06T05:00:00Z","instance":"front-2"}
  -1.000 front-3 {"msg":"router started","time":"2026-12-06T05:00:00Z","instance":"front-3"}
no line of a router {
   0.100 front-1 {"msg":"configuration in force","version":17,"source":"store"}
   0.150 front-2 {"msg":"configuration in force","version":17,"source":"front-1"}
   0.300 front-3 {"msg":"configuration in force","version":17,"source":"front-1"}
  25.900 front-1 {"msg":"configuration in force","version":21,"source":"store"}
  26.000 front-4 {"msg":"router started"}
  26.500 front-4 {"msg":"configuration in force","version":21,"source":"store"}
  30.200 front-2 {"msg":"configuration in force","version":21,"source":"front-1","known_ms":4100,"max_delay_ms":4700}
  31.000 front-1 {"msg":"request ended"}
`

func TestDelaysNameTheLastRoutersAndThoseThatNeverHadTheVersion(t *testing.T) {
	var l changedelay.Logs
	if err := l.Read(strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	versions := l.Versions()
	if len(versions) != 2 {
		t.Fatalf("got %d versions, want 17 and 21: %+v", len(versions), versions)
	}
	if v := versions[0]; v.Version != 17 || v.Routers != 3 || v.MedianMS != 50 || v.LargestMS != 200 || v.FromStore != 1 || len(v.Never) != 0 {
		t.Errorf("version 17: got %+v, want 3 routers, median 50 ms, largest 200 ms, one from the store", v)
	}
	v := versions[1]
	if v.Version != 21 || v.Routers != 2 || v.LargestMS != 5100 || len(v.Never) != 1 || v.Never[0] != "front-3" {
		t.Errorf("version 21: got %+v, want 2 routers, and front-3, which lacks it 5100 ms later", v)
	}
	if last := v.Last[0]; last.Instance != "front-2" || last.DelayMS != 4300 || last.KnownMS != 4100 || last.MaxDelayMS != 4700 {
		t.Errorf("last router of version 21: got %+v, want front-2 after 4300 ms", last)
	}
}

func TestLinesWithoutAPrefixHaveTheirOwnTime(t *testing.T) {
	var l changedelay.Logs
	for _, text := range []string{
		`{"msg":"configuration in force","version":2,"source":"store","instance":"r-1","time":"2026-12-06T05:00:00.1Z"}`,
		`{"msg":"configuration in force","version":2,"source":"r-1","instance":"r-2","time":"2026-12-06T05:00:00.35Z"}`,
	} {
		if err := l.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	if versions := l.Versions(); len(versions) != 1 || versions[0].LargestMS != 250 {
		t.Errorf("got %+v, want one version with a largest delay of 250 ms", versions)
	}
}

// Guards against a router that does not count since it restarted long before the change.
func TestRouterThatRestartedBeforeTheChangeCounts(t *testing.T) {
	var l changedelay.Logs
	for _, text := range []string{
		`1.0 r-1 {"msg":"router started"}`, `1.0 r-2 {"msg":"router started"}`, `2.0 r-2 {"msg":"router stopping"}`, `3.0 r-2 {"msg":"router started"}`,
		`20.0 r-1 {"msg":"configuration in force","version":2}`, `24.5 r-2 {"msg":"configuration in force","version":2}`,
	} {
		if err := l.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	if versions := l.Versions(); len(versions) != 1 || versions[0].Routers != 2 || versions[0].LargestMS != 4500 {
		t.Errorf("got %+v, want one version at 2 routers, the last one after 4500 ms", versions)
	}
}
