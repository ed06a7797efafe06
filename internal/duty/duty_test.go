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

// TestFailureIsReported guards against a process that continues after one of its
// controllers has returned an error or panicked.
func TestFailureIsReported(t *testing.T) {
	errBroken := errors.New("broken")
	for _, tc := range []struct {
		name     string
		duty     duty.Duty
		reported bool
	}{
		{"error", duty.Duty{Run: func(context.Context) error { return errBroken }}, true},
		{"panic", duty.Duty{Run: func(context.Context) error { panic("broken") }}, true},
		{"panic of a loop", duty.Loop("loop", func(context.Context) { panic("broken") }), true},
		{"optional", duty.Duty{Run: func(context.Context) error { return errBroken }, Optional: true}, false},
		{"done", duty.Duty{Run: func(context.Context) error { return nil }}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			logger, _ := logtest.NewNullLogger()
			returned := make(chan struct{})
			instrumented := tc.duty
			instrumented.Run = func(ctx context.Context) error {
				defer close(returned)
				return tc.duty.Run(ctx)
			}
			g := duty.Start(logrus.NewEntry(logger), []duty.Duty{instrumented})
			<-returned
			reported := false
			select {
			case <-g.Failed():
				reported = true
			case <-time.After(100 * time.Millisecond):
			}
			g.Stop()
			if reported != tc.reported {
				t.Errorf("failure reported: %v, want %v", reported, tc.reported)
			}
		})
	}
}

// TestErrorAfterStopIsNotReported guards against reporting the context error of a
// duty that Stop has canceled as a failure.
func TestErrorAfterStopIsNotReported(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	g := duty.Start(logrus.NewEntry(logger), []duty.Duty{{Run: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}}})
	g.Stop()
	select {
	case err := <-g.Failed():
		t.Errorf("got failure %v after Stop, want none", err)
	default:
	}
}
