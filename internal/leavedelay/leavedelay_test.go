package leavedelay_test

import (
	"strings"
	"testing"

	"github.com/umberhill/umberhill/internal/leavedelay"
)

const logs = `
  -1.000 r-1 {"msg":"router started"}
  -1.000 r-2 {"msg":"router started"}
  -1.000 r-3 {"msg":"router started"}
  -1.000 r-4 {"msg":"router started"}
   0.100 r-1 {"msg":"target listed","target":"a","service":"app","leaving":false}
   0.100 r-2 {"msg":"target listed","target":"a","service":"app","leaving":false}
   0.100 r-3 {"msg":"target listed","target":"a","service":"app","leaving":false}
   0.100 r-4 {"msg":"target listed","target":"a","service":"app","leaving":false}
   0.100 r-1 {"msg":"target listed","target":"b","service":"app","leaving":false}
   0.100 r-2 {"msg":"target listed","target":"b","service":"app","leaving":false}
   1.000 r-4 {"msg":"router stopping"}
   1.500 r-4 {"msg":"router started"}
   1.500 r-6 {"msg":"target listed","target":"a","service":"app","leaving":false}
   3.000 r-6 {"msg":"router started"}
   1.600 r-4 {"msg":"target listed","target":"a","service":"app","leaving":false}
   4.000 r-2 {"msg":"store lost","step":"watch targets"}
   4.100 r-2 {"msg":"store lost","step":"watch configuration"}
   4.500 r-2 {"msg":"store regained","step":"watch targets"}
   5.000 r-1 {"msg":"target gone","target":"a","service":"app","cause":"removed","source":"store","missing_ms":0}
   5.100 r-4 {"msg":"target gone","target":"a","service":"app","cause":"removed","source":"r-1"}
   5.200 r-5 {"msg":"router started"}
   5.300 r-5 {"msg":"target listed","target":"a","service":"app","leaving":false}
   6.000 r-1 {"msg":"target listed","target":"b","service":"app","leaving":true}
   6.200 r-2 {"msg":"target listed","target":"b","service":"app","leaving":true}
   7.500 r-2 {"msg":"target gone","target":"a","service":"app","cause":"not_back","source":"","missing_ms":2400,"max_delay_ms":3000}
   9.000 r-1 {"msg":"request ended"}
`

func TestLeavesNameTheLastRoutersWithTheReasonAndThoseThatNeverStopped(t *testing.T) {
	var l leavedelay.Logs
	if err := l.Read(strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	leaves := l.Leaves()
	if len(leaves) != 2 || leaves[0].Target != "a" || leaves[1].Target != "b" {
		t.Fatalf("got %+v, want the leave of a, which took longer, and that of b", leaves)
	}
	a := leaves[0]
	if a.Draining || a.Routers != 3 || a.MedianMS != 100 || a.LargestMS != 4000 || len(a.Never) != 1 || a.Never[0] != "r-3" {
		t.Errorf("leave of a: got %+v, want 3 routers, median 100 ms, and r-3 which still uses it 4000 ms later", a)
	}
	last := a.Last[0]
	if last.Instance != "r-2" || last.DelayMS != 2500 || last.Cause != "not_back" || last.MissingMS != 2400 || last.MaxDelayMS != 3000 {
		t.Errorf("last router of a: got %+v, want r-2 after 2500 ms, of which the entry was missing for 2400", last)
	}
	if c := last.Contacts; len(c) != 2 || c[0].OffsetMS != -1000 || !c[0].Lost || c[1].OffsetMS != -500 || c[1].Lost {
		t.Errorf("contacts of r-2: got %+v, want the store lost 1000 ms and regained 500 ms before the leave", c)
	}
	if b := leaves[1]; !b.Draining || b.Routers != 2 || b.LargestMS != 200 || len(b.Never) != 0 {
		t.Errorf("leave of b: got %+v, want 2 routers, the last one after 200 ms", b)
	}
}

func TestTargetThatIsListedAgainLeavesAnew(t *testing.T) {
	var l leavedelay.Logs
	var text strings.Builder
	for _, line := range []string{
		`1.0 %s {"msg":"target listed","target":"a"}`, `2.0 %s {"msg":"target gone","target":"a"}`,
		`3.0 %s {"msg":"target listed","target":"a"}`, `9.0 %s {"msg":"target gone","target":"a"}`,
	} {
		for _, router := range []string{"r-1", "r-2"} {
			text.WriteString(strings.Replace(line, "%s", router, 1) + "\n")
		}
	}
	if err := l.Read(strings.NewReader(text.String())); err != nil {
		t.Fatal(err)
	}
	if leaves := l.Leaves(); len(leaves) != 2 || leaves[0].LargestMS != 0 || leaves[1].LargestMS != 0 {
		t.Errorf("got %+v, want two leaves without delay", leaves)
	}
}
