package upstream

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a body that passes for a response, since the status before it counts as 1xx.
func TestInvalidStatusIsNoInterimResponse(t *testing.T) {
	t.Parallel()
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, status := range []string{"000", "001", "002", "020", "099", "+20", "+99", "-00", "-01", "101", "1e2", "0x1", " 20", "", "20", "2000"} {
		for _, head := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			data := fmt.Sprintf("%sHTTP/1.1 %s OK\r\nContent-Length: %d\r\n\r\n%s", head, status, len(inner), inner)
			if _, body, _, err := receiveAll([]byte(data), http.MethodPost); !errors.Is(err, ErrMalformedResponse) {
				t.Errorf("%q: got the body %q, error %v, want a malformed response", data, body, err)
			}
		}
	}
}

// Guards against refusing a status that is valid, or may be one of later standards.
func TestValidStatusesAreResponses(t *testing.T) {
	t.Parallel()
	for _, status := range []int{200, 204, 299, 304, 404, 451, 500, 599, 600, 999} {
		for _, interim := range []string{"", "100 Continue", "102 Processing", "199 Odd"} {
			data := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
			if interim != "" {
				data = "HTTP/1.1 " + interim + "\r\n\r\n" + data
			}
			c := newConn(scriptConn{data: strings.NewReader(data)}, Endpoint{}, nil)
			if resp, err := c.Receive(http.MethodPost); err != nil || resp.StatusCode != status {
				t.Errorf("%q: got error %v, want status %d", data, err, status)
			}
		}
	}
}
