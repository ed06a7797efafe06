package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/time/rate"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// callTimeout bounds an outgoing call whose context has no deadline.
	callTimeout = 5 * time.Second
	// serveTimeout bounds an incoming call.
	serveTimeout = 30 * time.Second
	// maxConcurrentCalls bounds the incoming calls that one link serves at a
	// time.
	maxConcurrentCalls = 16
	// excessCallRate, in calls per second, and excessCallBurst, in calls, bound
	// the calls that are refused because maxConcurrentCalls are in progress. The
	// link of a peer that exceeds these bounds is closed.
	excessCallRate  = 32
	excessCallBurst = 64
)

// ErrNotLinked is returned by Call when no link to the peer is open.
var ErrNotLinked = errors.New("peer is not linked")

// RemoteError is returned by Call when the peer answered with an error.
type RemoteError struct {
	Peer   ids.Instance
	Method string
	// Message is the error text in the peer's response.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return "call " + e.Method + " at " + string(e.Peer) + ": " + e.Message
}

// Call sends a request to a peer and returns the body of its response. It ends
// with ctx; without a deadline in ctx it times out after 5 s. The error wraps
// ErrNotLinked or a *RemoteError where one of these is the cause.
func (m *Mesh) Call(ctx context.Context, to ids.Instance, method string, body []byte) ([]byte, error) {
	response, err := m.call(ctx, to, method, body)
	if err != nil {
		m.metrics.callFailures.Inc(1)
		return nil, errors.Wrapf(err, "call %s at %s", method, to)
	}
	return response, nil
}

func (m *Mesh) call(ctx context.Context, to ids.Instance, method string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l := m.linkTo(to)
	if l == nil {
		return nil, ErrNotLinked
	}
	stream, err := l.openCall(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	defer discard(stream)
	// A deadline in the past aborts reads and writes once ctx is done.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(expired) })
	defer stop()
	response, err := m.exchange(stream, &peerv1.CallRequest{Method: method, Body: body})
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, err
	}
	if response.GetError() != "" {
		return nil, &RemoteError{Peer: to, Method: method, Message: response.GetError()}
	}
	return response.GetBody(), nil
}

func (l *link) openCall(ctx context.Context) (*stream, error) {
	select {
	case <-l.opened:
	case <-l.done:
		return nil, ErrNotLinked
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return l.openStream(ctx)
}

// openStream opens a stream of the session. OpenStream takes no context, and it blocks
// while acceptBacklog streams wait for the peer to accept them, so it runs in a goroutine,
// which closes the stream if ctx ends first. opening bounds these goroutines.
func (l *link) openStream(ctx context.Context) (*stream, error) {
	select {
	case l.opening <- struct{}{}:
	case <-l.done:
		return nil, ErrNotLinked
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	opened, failed := make(chan *stream), make(chan error, 1)
	go func() {
		defer func() { <-l.opening }()
		s, err := l.session.OpenStream()
		if err != nil {
			failed <- err
			return
		}
		added := l.streams.add(s)
		select {
		case opened <- added:
		case <-ctx.Done():
			discard(added)
		}
	}()
	select {
	case s := <-opened:
		return s, nil
	case err := <-failed:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Mesh) exchange(stream *stream, request *peerv1.CallRequest) (*peerv1.CallResponse, error) {
	frame, err := appendFrame(nil, request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	if len(frame) > MaxCallRequestBytes {
		return nil, errTooLarge
	}
	if _, err := stream.Write(frame); err != nil {
		return nil, errors.Wrap(err, "write request")
	}
	m.traffic.sent[kindCall].add(len(frame))
	response := new(peerv1.CallResponse)
	wire, err := newFrameReader(stream).readMessage(response, MaxCallResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	m.traffic.received[kindCall].add(wire)
	return response, nil
}

// serveCalls accepts and answers the peer's calls until the session ends or the
// peer exceeds the rate of calls above the concurrency limit.
func (l *link) serveCalls(ctx context.Context, g *group, session *yamux.Session) error {
	slots := make(chan struct{}, maxConcurrentCalls)
	excess := rate.NewLimiter(excessCallRate, excessCallBurst)
	for {
		accepted, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return errors.Wrap(err, "accept calls")
		}
		stream := l.streams.add(accepted)
		select {
		case slots <- struct{}{}:
		default:
			l.mesh.metrics.countRefused(refusedBusy)
			discard(stream)
			if !excess.Allow() {
				return errors.Wrap(errMalformed, "rate of calls above the concurrency limit exceeded")
			}
			continue
		}
		g.run(func() error {
			defer func() { <-slots }()
			return l.serveCall(ctx, stream)
		})
	}
}

// serveCall answers one call. It returns an error, which ends the link, only for
// malformed input.
func (l *link) serveCall(ctx context.Context, stream *stream) error {
	defer discard(stream)
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if err := stream.SetDeadline(deadline); err != nil {
		return nil
	}
	request := new(peerv1.CallRequest)
	wire, err := newFrameReader(stream).readMessage(request, MaxCallRequestBytes)
	if err != nil {
		if isProtocolViolation(err) {
			return errors.Wrap(err, "read call")
		}
		return nil
	}
	l.mesh.traffic.received[kindCall].add(wire)
	l.answer(ctx, stream, request)
	return nil
}

func (l *link) answer(ctx context.Context, stream *stream, request *peerv1.CallRequest) {
	response := new(peerv1.CallResponse)
	body, err := l.mesh.opts.Handler.Serve(ctx, *l.peer.Load(), request.GetMethod(), request.GetBody())
	if err == nil && len(body) > MaxCallResponseBytes-maxHelloBytes {
		err = errTooLarge
	}
	if err != nil {
		response.Error = err.Error()
	} else {
		response.Body = body
	}
	frame, err := appendFrame(nil, response)
	if err != nil {
		return
	}
	if _, err := stream.Write(frame); err != nil {
		return
	}
	l.mesh.traffic.sent[kindCall].add(len(frame))
}
