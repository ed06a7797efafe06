package edge

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/sock"
)

const (
	// minSilence is the least time without data from a target after which a stream is
	// resumed at another one. Sound targets pause for about a second; callers leave after
	// two.
	minSilence = 1200 * time.Millisecond
	// predictedLatencyFactor times the predicted latency is the timeout of the first
	// event, if that is longer than minSilence.
	predictedLatencyFactor = 3
	// minProgressBytes is the number of bytes of an incomplete event that count as progress
	// of a stream, as an event does. Fewer, or comments, do not show that a stream goes on.
	minProgressBytes = 1 << 10
	// streamBufferBytes is the size of the buffer for reads from a stream.
	streamBufferBytes = 4 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
)

func (a *attempt) firstEventTimeout() time.Duration {
	if !a.isResumable() {
		return 0
	}
	return max(minSilence, predictedLatencyFactor*a.verdict.Inputs.PredictedLatency)
}

func (a *attempt) nextEventTimeout() time.Duration {
	if !a.isResumable() {
		return 0
	}
	return max(minSilence, 4*a.route.GapObjective)
}

// relayStream sends complete events to the caller as they arrive. The partial event
// at the end of a broken stream is dropped.
func (a *attempt) relayStream(resp *http.Response) (attemptOutcome, error) {
	var pending []byte
	var held int64
	defer func() { a.releaseResponse(held) }()
	a.isRelayingStream = true
	a.stream.beginPart()
	endTransfer, unwatch := a.watchStream()
	defer unwatch()
	defer endTransfer()
	a.responseHeld.pause(true)
	defer a.responseHeld.pause(false)
	a.limitSilence(a.ctx, a.firstEventTimeout())
	// unmarkedBytes is the number of bytes read since the last progress.
	unmarkedBytes := 0
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			a.markResponseStarted()
			a.responseHeld.pause(false)
			// An event may end with the last byte read before.
			unscanned := max(0, len(pending)-1)
			pending = append(pending, buf[:n]...)
			complete, partial := splitEvents(pending, unscanned)
			eventsBefore := a.stream.events
			valid, eventErr := a.stream.advance(complete)
			a.reportBegun(complete[:valid])
			a.recordEvents(complete[:valid], a.stream.events-eventsBefore)
			if unmarkedBytes += n; unmarkedBytes >= minProgressBytes || hasData(complete[:valid]) {
				a.conn.MarkProgress()
				unmarkedBytes = 0
			}
			if err := a.sendEvents(resp, complete[:valid]); err != nil {
				return a.callerWriteFailed(err)
			}
			if eventErr != nil {
				return a.failStream(eventErr)
			}
			if cap(pending) > unbudgetedResponseBytes && len(partial) <= streamBufferBytes {
				// The buffer of a large event is not kept while the next one is awaited.
				pending = bytes.Clone(partial)
				a.releaseResponse(held)
				held = 0
			} else {
				pending = append(pending[:0], partial...)
			}
			var fullErr error
			a.responseHeld.markProgress()
			if held, fullErr = a.reserveResponse(held, cap(pending), 0); fullErr != nil {
				return a.failForMemory(fullErr)
			}
			a.responseHeld.pause(held == 0)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			if err := a.stream.checkEnd(); err != nil {
				return a.failStream(err)
			}
			return a.completeStream(resp, endTransfer)
		case errors.Is(err, io.EOF):
			return a.failStream(errors.New("stream ended within an event"))
		case err != nil:
			return a.failStream(err)
		case len(pending) > maxEventBytes:
			return a.failStream(errors.Newf("event exceeds the limit of %d bytes", maxEventBytes))
		}
	}
}

func (a *attempt) markResponseStarted() {
	if a.responseStarted {
		return
	}
	a.responseStarted = true
	a.limitSilence(a.ctx, a.nextEventTimeout())
	a.record.TimeToFirstByte = time.Since(a.startedAt)
	a.countLoad(func(l *WorkspaceLoad) { l.StartedTokens += int64(a.verdict.Inputs.ChargedTokens) })
	a.server.opts.Scheduler.ResponseStarted(a.verdict.ID, a.server.wasLate(a.startedAt))
}

// recordEvents records that complete events have arrived, n of them with an id.
func (a *attempt) recordEvents(events []byte, n int) {
	if n == 0 {
		return
	}
	now := time.Now()
	if a.end.Events == 0 {
		a.firstEventAt = now
		a.record.FirstEventID = eventID(events)
	}
	a.record.LastEventID = a.stream.lastID
	a.end.Events += n
	a.end.Streamed = now.Sub(a.firstEventAt)
}

// splitEvents splits the pending bytes into complete events and the partial event
// after them. No event ends before the byte unscanned, so that the time for a large event
// is linear in its size.
func splitEvents(pending []byte, unscanned int) (complete, partial []byte) {
	i := bytes.LastIndex(pending[unscanned:], []byte("\n\n"))
	if i < 0 {
		return nil, pending
	}
	end := unscanned + i + len("\n\n")
	return pending[:end], pending[end:]
}

// sendEvents sends complete events to the caller.
func (a *attempt) sendEvents(resp *http.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if err := a.limitStreamWrites(); err != nil {
		return err
	}
	a.isWriting.Store(true)
	defer a.isWriting.Store(false)
	if err := a.sendHead(resp); err != nil {
		return err
	}
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// watchStream watches the writes of a stream, and lets its memory yield: the target's side if
// the stream waits for the target, the caller's if it waits for the caller.
func (a *attempt) watchStream() (endTransfer func() (yielded bool), unwatch func()) {
	conn := a.callerConn()
	if conn != nil {
		conn.WatchWrites(&sock.WriteWatch{
			Renewal: streamWriteTimeout, Until: a.lateDeadline(), OnProgress: a.responseHeld.markProgress,
		})
	}
	endTransfer = a.responseHeld.startTransfer(func() {
		if conn != nil && a.isWriting.Load() {
			conn.AbortWrites()
			return
		}
		a.conn.Abort()
	})
	return endTransfer, func() {
		if conn != nil {
			conn.WatchWrites(nil)
		}
	}
}

// limitStreamWrites bounds the time for which the next part of a stream may wait for its
// caller.
func (a *attempt) limitStreamWrites() error {
	deadline := a.lateDeadline()
	if a.callerConn() == nil && a.stream.started {
		return nil
	}
	if stalled := time.Now().Add(streamWriteTimeout); a.callerConn() != nil && stalled.Before(deadline) {
		deadline = stalled
	}
	return ignoreNotSupported(http.NewResponseController(a.w).SetWriteDeadline(deadline))
}

// sendHead sends the status and header of the response, once. A resumed stream
// keeps those of the first target.
func (a *attempt) sendHead(resp *http.Response) error {
	if a.stream.started {
		return nil
	}
	if err := a.markIncomplete(); err != nil {
		return err
	}
	a.stream.started, a.stream.status = true, resp.StatusCode
	a.bindOrigin()
	a.server.opts.Headers.CopyResponse(a.w.Header(), resp.Header)
	a.w.Header().Del("Content-Length")
	a.w.WriteHeader(resp.StatusCode)
	a.exchange.record.Status = resp.StatusCode
	a.exchange.record.TimeToFirstByte = time.Since(a.arrivedAt)
	a.server.counts.firstByteTime.Record(a.exchange.record.TimeToFirstByte)
	return nil
}

// hasData reports whether one of the complete events has data.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data:")) || bytes.Contains(events, []byte("\ndata:"))
}

func (a *attempt) completeStream(resp *http.Response, endTransfer func() (yielded bool)) (attemptOutcome, error) {
	a.isWhole = true
	// net/http writes the end of the response.
	if err := a.limitStreamWrites(); err != nil {
		return a.callerWriteFailed(err)
	}
	if err := a.sendHead(resp); err != nil {
		return a.callerWriteFailed(err)
	}
	if err := a.markComplete(); err != nil {
		return a.callerWriteFailed(err)
	}
	// A yield after the release would abort a connection that another request uses.
	if endTransfer() {
		a.conn.Close()
	}
	a.releaseConn()
	a.end.Result = admit.Served
	a.exchange.record.Outcome = "served"
	a.responseComplete = true
	return outcomeDelivered, nil
}

func (a *attempt) failStream(err error) (attemptOutcome, error) {
	a.conn.Close()
	a.recordSilence(err)
	a.end.Result = admit.Failed
	return outcomeUnknown, errors.Wrap(err, "read stream from target")
}

// callerWriteFailed ends an attempt after a failed write to the caller.
func (a *attempt) callerWriteFailed(err error) (attemptOutcome, error) {
	a.conn.Close()
	a.end.Result = admit.Canceled
	err = errors.Wrap(err, "write stream to caller")
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, sock.ErrWriteAborted) {
		a.server.counts.streamsStalled.Inc(1)
		a.server.stalledStreams.Add(1)
		return outcomeCallerStalled, err
	}
	return outcomeCanceled, err
}
