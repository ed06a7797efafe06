package relay

import (
	"net"
	"net/http"
	"time"
)

// idlePerTarget bounds the kept-alive connections to a target.
const idlePerTarget = 256

// newTransport returns a transport that follows no proxy. Without keep-alive
// each request has a connection of its own. net/http replays a request by
// itself only on a reused connection, so there it never does.
func newTransport(dial, idle time.Duration, keepAlive bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dial}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idle,
	}
}
