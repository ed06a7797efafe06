package quarantine

import "testing"

// Guards against a point of the response at which the end of its target goes unnoticed.
func TestEachEndBeforeAWholeResponseIsChecked(t *testing.T) {
	t.Parallel()
	for bits := range 1 << 6 {
		e := AttemptEnd{
			Sent: bits&1 > 0, NotRun: bits&2 > 0, Whole: bits&4 > 0, EndsWithConn: bits&8 > 0, ConnEnded: bits&16 > 0, Failed: bits&32 > 0,
		}
		got, mayHaveRun := e.CrashCheck(), e.Sent && !e.NotRun
		if want := mayHaveRun && (!e.Whole || e.EndsWithConn); got.Due != want {
			t.Errorf("%+v: check due: got %v, want %v", e, got.Due, want)
		}
		if !e.Whole && (e.ConnEnded || e.Failed) && got.Optional {
			t.Errorf("%+v: the check is optional", e)
		}
		if mayHaveRun && !e.Whole && got.Delayed == e.ConnEnded {
			t.Errorf("%+v: check delayed: got %v", e, got.Delayed)
		}
	}
}
