package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

var _ = DescribeTable("a response head beyond the bound fails the attempt", func(isEngine, stream, onceOnly bool) {
	server := engine(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Large", strings.Repeat("x", 128<<10))
		_, _ = w.Write([]byte("{}"))
	})
	call := engineCall(address(server), stream)
	call.Engine, call.OnceOnly = isEngine, onceOnly
	out := filter.NewResponseWriter(httptest.NewRecorder())
	result, err := newClient().Do(context.Background(), call, out)
	Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
	Expect(result.Failed).To(BeTrue())
	Expect(out.IsCommitted()).To(BeFalse())
},
	Entry("of an engine", true, false, false),
	Entry("of an engine, streamed", true, true, false),
	Entry("of a plain service", false, false, false),
	Entry("of a once-only request", false, false, true),
)
