package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

// Guards against a router without processor time that pauses sound targets because its own
// connection attempts time out, and then refuses requests as it has no target left (FAIR).
func TestLateRouterDoesNotPauseTargets(t *testing.T) {
	const dialTimeout = 40 * time.Millisecond
	address := fullListener(t)
	for _, c := range []struct {
		name     string
		delay    time.Duration
		isPaused bool
	}{
		{"late", dialTimeout, false},
		{"some ms late", minLateness - time.Millisecond, true},
		{"in time", time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			shedder := new(LoadShedder)
			paused := 0
			scheduler := NewScheduler(admit.Options{ShareWindow: time.Second}, func(h admit.HealthChange) {
				if !h.Reachable {
					paused++
				}
			})
			s := New(Options{
				Headers: keyCodec{}, LoadShedder: shedder, Log: discardLog{}, Scope: tally.NoopScope, Scheduler: scheduler,
				Pool: upstream.NewPool(upstream.Options{DialTimeout: dialTimeout, MaxIdleConns: func(upstream.Endpoint) int { return 0 }}),
			})
			config := &routing.Config{
				Version:  1,
				Services: map[string]*routing.Service{"app": {Name: "app"}},
				Routes:   []routing.Route{{Name: "app", Host: "h", Prefix: "/", Split: []routing.WeightedService{{Service: "app", Weight: 1}}}},
			}
			s.SetConfig(config)
			scheduler.SetConfig(config)
			var targets []routing.Target
			for _, id := range []ids.Target{"t1", "t2", "t3", "t4", "t5"} {
				targets = append(targets, routing.Target{ID: id, Service: "app", Address: address, Slots: 1})
			}
			scheduler.SetTargets(targets)
			shedder.Observe(time.Now().Add(time.Minute), c.delay)
			s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h/x", strings.NewReader("")))
			if isPaused := paused > 0; isPaused != c.isPaused {
				t.Errorf("%d targets were paused, want any: %v", paused, c.isPaused)
			}
		})
	}
}

// fullListener returns the address of a socket whose queue of connections is full, so that attempts
// to connect get no answer.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port) //nolint:forcetypeassert // it was bound to one
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of connections is not full after 8 connections")
	return ""
}
