package obs_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/obs"
	"github.com/umberhill/umberhill/internal/settings"
)

func TestLogger(t *testing.T) {
	g := NewWithT(t)
	logger, err := obs.Logger(settings.Log{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(logger.Level).To(Equal(logrus.InfoLevel))
	g.Expect(logger.Formatter).To(BeAssignableToTypeOf(&logrus.JSONFormatter{}))
	_, err = obs.Logger(settings.Log{Level: "loud"})
	g.Expect(err).To(MatchError(ContainSubstring("log.level")))
	_, err = obs.Logger(settings.Log{Format: "xml"})
	g.Expect(err).To(MatchError(ContainSubstring("log.format")))
}

func TestScopeServesMetrics(t *testing.T) {
	g := NewWithT(t)
	scope, handler, closer := obs.NewScope(map[string]string{"instance": "a1"})
	scope.SubScope("peer").Tagged(map[string]string{"kind": "sched"}).Counter("messages").Inc(3)
	g.Expect(closer.Close()).To(Succeed())
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	g.Expect(w.Body.String()).To(ContainSubstring(`umberhill_peer_messages{instance="a1",kind="sched"} 3`))
	g.Expect(w.Body.String()).To(ContainSubstring("umberhill_metrics_register_failures 0"))
}

func TestChangeLoggerLogsOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	changes := obs.NewChangeLogger(logrus.NewEntry(logger), 0, 2)
	g.Expect(changes.Set(logrus.InfoLevel, "platform", "up", nil)).To(BeTrue())
	g.Expect(changes.Set(logrus.InfoLevel, "platform", "up", nil)).To(BeFalse())
	g.Expect(changes.Set(logrus.WarnLevel, "platform", "down", nil)).To(BeTrue())
	for i := range 100 {
		changes.Set(logrus.InfoLevel, "platform", fmt.Sprint("flap ", i), nil)
	}
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(2))
}

// TestTopLabelsBoundsCardinality guards against a number of metric series that
// grows with the number of names.
func TestTopLabelsBoundsCardinality(t *testing.T) {
	g := NewWithT(t)
	const n = 4
	top := obs.NewTopLabels(n)
	labels := make(map[string]bool)
	for i := range 46_000 {
		labels[top.Label(fmt.Sprint("w", i), 1)] = true
		labels[top.Label("heavy", 100)] = true
	}
	g.Expect(len(labels)).To(BeNumerically("<=", 4*n+1))
	g.Expect(labels).To(HaveKey("heavy"))
	g.Expect(labels).To(HaveKey(obs.Other))
}
