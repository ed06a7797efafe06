package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/umberhill/umberhill/internal/duty"
)

func TestFailedDutyIsTold(t *testing.T) {
	fail := errors.New("broken")
	for _, tc := range []struct {
		name  string
		duty  duty.Duty
		fatal bool
	}{
		{"error", duty.Duty{Run: func(context.Context) error { return fail }}, true},
		{"panic", duty.Duty{Run: func(context.Context) error { panic("broken") }}, true},
		{"panic of a loop", duty.Loop("loop", func(context.Context) { panic("broken") }), true},
		{"optional", duty.Duty{Run: func(context.Context) error { return fail }, Optional: true}, false},
		{"done", duty.Duty{Run: func(context.Context) error { return nil }}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			logger, _ := logtest.NewNullLogger()
			ended := make(chan struct{})
			watched := tc.duty
			watched.Run = func(ctx context.Context) error {
				defer close(ended)
				return tc.duty.Run(ctx)
			}
			g := duty.Start(logrus.NewEntry(logger), []duty.Duty{watched})
			<-ended
			fatal := false
			select {
			case <-g.Failed():
				fatal = true
			case <-time.After(100 * time.Millisecond):
			}
			g.End()
			if fatal != tc.fatal {
				t.Errorf("fatal %v, want %v", fatal, tc.fatal)
			}
		})
	}
}

func TestFailureAfterTheEndIsNone(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	g := duty.Start(logrus.NewEntry(logger), []duty.Duty{{Run: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}}})
	g.End()
	select {
	case err := <-g.Failed():
		t.Errorf("told %v", err)
	default:
	}
}
