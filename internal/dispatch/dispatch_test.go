package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/dispatch"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// fakeStateMachine decides on each submission by the name of its workspace, and
// records events.
type fakeStateMachine struct {
	events chan sched.Event
}

func (m *fakeStateMachine) Step(_ time.Time, ev sched.Event) []sched.Action {
	if _, tick := ev.(sched.Tick); tick {
		return nil
	}
	m.events <- ev
	submit, ok := ev.(sched.Submit)
	if !ok {
		return nil
	}
	switch submit.Request.Workspace {
	case "served":
		return []sched.Action{sched.Dispatch{ID: submit.Request.ID, Target: "t"}}
	case "refused":
		return []sched.Action{sched.Refuse{ID: submit.Request.ID, Code: outcome.CodeQueueFull, RetryAfter: time.Second}}
	default:
		return nil
	}
}

func (m *fakeStateMachine) View() sched.View    { return sched.View{} }
func (m *fakeStateMachine) Owned() []ids.Target { return []ids.Target{"t"} }

var _ = Describe("Dispatcher", func() {
	var (
		m    *fakeStateMachine
		d    *dispatch.Dispatcher
		stop context.CancelFunc
		done chan struct{}
	)

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(ignore)).To(Succeed()) })
		m = &fakeStateMachine{events: make(chan sched.Event, 16)}
		d = dispatch.New(m, func(ids.Instance, *schedv1.Message) {}, tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		stop = cancel
		done = make(chan struct{})
		go func() {
			defer close(done)
			_ = d.Run(ctx)
		}()
		DeferCleanup(func() {
			stop()
			<-done
		})
	})

	code := func(err error) outcome.Code {
		GinkgoHelper()
		var failure *outcome.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Outcome).To(Equal(outcome.NotRun))
		return failure.Code
	}

	It("returns the target that the state machine assigned", func() {
		target, err := d.Acquire(context.Background(), sched.Request{ID: d.NewID(), Workspace: "served"})
		Expect(err).NotTo(HaveOccurred())
		Expect(target).To(Equal(ids.Target("t")))
	})

	It("returns the state machine's refusal", func() {
		_, err := d.Acquire(context.Background(), sched.Request{ID: d.NewID(), Workspace: "refused"})
		Expect(code(err)).To(Equal(outcome.CodeQueueFull))
	})

	It("cancels a request whose caller disconnects", func() {
		ctx, disconnect := context.WithCancel(context.Background())
		id := d.NewID()
		failed := make(chan error, 1)
		go func() {
			_, err := d.Acquire(ctx, sched.Request{ID: id, Workspace: "waits"})
			failed <- err
		}()
		Eventually(m.events).Should(Receive(BeAssignableToTypeOf(sched.Submit{})))
		disconnect()
		Expect(code(<-failed)).To(Equal(outcome.CodeCanceled))
		Eventually(m.events).Should(Receive(Equal(sched.Cancel{ID: id})))
	})

	It("refuses the requests that still wait when Run ends", func() {
		failed := make(chan error, 1)
		go func() {
			_, err := d.Acquire(context.Background(), sched.Request{ID: d.NewID(), Workspace: "waits"})
			failed <- err
		}()
		Eventually(m.events).Should(Receive(BeAssignableToTypeOf(sched.Submit{})))
		stop()
		Expect(code(<-failed)).To(Equal(outcome.CodeShuttingDown))
	})

	It("returns the state machine's state, and an empty one after Run has ended", func() {
		Expect(d.Inspect(context.Background()).Owned).To(HaveLen(1))
		stop()
		<-done
		Expect(d.Inspect(context.Background()).Owned).To(BeEmpty())
	})
})
