package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

// A caller that closes its sending side ends the context of its request, but may still
// read the response.
var _ = DescribeTable("a caller that leaves before the response", func(isEngine, stream bool) {
	arrived := make(chan struct{}, 1)
	server := engine(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		// net/http detects a closed connection only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		<-arrived
		time.Sleep(20 * time.Millisecond)
		leave()
	}()
	call := engineCall(address(server), stream)
	call.Engine = isEngine
	out := filter.NewResponseWriter(httptest.NewRecorder())
	_, err := newClient().Do(ctx, call, out)
	var failure *outcome.Error
	Expect(errors.As(err, &failure)).To(BeTrue(), "got error %v, want an *outcome.Error", err)
	Expect(failure.Code).To(Equal(outcome.CodeCanceled))
	Expect(failure.Outcome).To(Equal(outcome.Unknown))
	Expect(failure.Status).To(Equal(outcome.StatusClientClosed))
	Expect(out.IsCommitted()).To(BeFalse())
},
	Entry("of an engine", true, false),
	Entry("of an engine, streamed", true, true),
	Entry("of a plain service", false, false),
)
