package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/sock"
)

const (
	// maxIdleConnsPerTarget bounds the idle keep-alive connections to a target.
	maxIdleConnsPerTarget = 256
	// maxResponseHeadBytes bounds the head of a response, 1xx responses included.
	maxResponseHeadBytes = 64 << 10
)

// newTransport returns a transport that uses no proxy. Without keep-alive each
// request gets a connection of its own. net/http replays a request by itself only
// on a reused connection, so a transport without keep-alive never replays one.
func newTransport(dialTimeout, idleTimeout time.Duration, keepAlive bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return sock.ReportResets(conn), nil
		},
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerTarget,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}
