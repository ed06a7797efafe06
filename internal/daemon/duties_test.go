package daemon

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

func TestFailedDutyEndsTheRouter(t *testing.T) {
	fail := errors.New("broken")
	for _, tc := range []struct {
		name  string
		duty  duty
		fatal bool
	}{
		{"error", duty{run: func(context.Context) error { return fail }}, true},
		{"panic", duty{run: func(context.Context) error { panic("broken") }}, true},
		{"optional", duty{run: func(context.Context) error { return fail }, optional: true}, false},
		{"done", duty{run: func(context.Context) error { return nil }}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			logger, _ := logtest.NewNullLogger()
			d := &Daemon{logger: logrus.NewEntry(logger), failed: make(chan error, 1)}
			d.run(context.Background(), tc.duty)
			if got := len(d.failed) > 0; got != tc.fatal {
				t.Errorf("fatal %v, want %v", got, tc.fatal)
			}
		})
	}
}
