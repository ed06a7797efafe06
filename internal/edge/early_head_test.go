package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestEarlyHeadInItsUsualForm(t *testing.T) {
	fields := map[string]string{}
	h, ok := parseEarlyHead([]byte("POST /a/b?c=1 HTTP/1.1\r\nHost: h.example\r\nX-Id:  7 \r\nContent-Length: 4\r\nConnection: keep-alive\r\n\r\nbody"),
		func(name, value []byte) { fields[string(name)] = string(value) })
	if !ok || h.host != "h.example" || h.path != "/a/b" || h.bodySize != 4 || fields["X-Id"] != "7" || len(fields) != 1 {
		t.Errorf("got %+v, fields %v, accepted %v, want the host, path, length and one field", h, fields, ok)
	}
}

// Guards against a request that the early parser and net/http read differently.
func TestEarlyHeadPassesUnusualRequests(t *testing.T) {
	const usual = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for _, c := range []struct{ name, old, with string }{
		{"method", "POST", "GET"},
		{"version", "HTTP/1.1", "HTTP/1.0"},
		{"absolute target", "/a", "http://h/a"},
		{"escaped path", "/a", "/%61"},
		{"cleaned path", "/a", "//a"},
		{"no host", "Host: h\r\n", ""},
		{"two hosts", "Host: h\r\n", "Host: h\r\nHost: i\r\n"},
		{"two lengths", "Content-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 4\r\n"},
		{"signed length", "Content-Length: 4", "Content-Length: +4"},
		{"chunks", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"},
		{"expectation", "Host: h\r\n", "Host: h\r\nExpect: 100-continue\r\n"},
		{"closing", "Host: h\r\n", "Host: h\r\nConnection: close\r\n"},
		{"folded field", "Host: h\r\n", "Host: h\r\nX: a\r\n b\r\n"},
		{"space before the colon", "Host: h", "Host : h"},
		{"bare line feed", "Host: h\r\n", "Host: h\nX: y\r\n"},
		{"body not whole", "body", "bod"},
		{"next request", "body", "bodyPOST"},
	} {
		request := strings.Replace(usual, c.old, c.with, 1)
		if _, ok := parseEarlyHead([]byte(request), func(_, _ []byte) {}); ok {
			t.Errorf("%s: %q was accepted, want it to pass", c.name, request)
		}
	}
}

func TestEarlyHeadAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{
			"POST", " ", "/a", "/", "?q", "%41", "//", " HTTP/1.1", " HTTP/1.0", "\r\n", "\n", "\r", "Host", "host", ": ", ":", "h", "h:80",
			"Content-Length", "Transfer-Encoding", "chunked", "0", "3", "abc", "Connection", "close", "keep-alive", "X-Id", "\t", "\x00", "é", "\r\n\r\n",
		})
		pieces := rapid.SliceOfN(piece, 0, 12).Draw(t, "pieces")
		start := rapid.SampledFrom([]string{"", "POST /a HTTP/1.1\r\nHost: h\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"}).Draw(t, "start")
		end := rapid.SampledFrom([]string{"", "\r\n", "\r\n\r\n", "\r\nabc"}).Draw(t, "end")
		data := []byte(start + strings.Join(pieces, "") + end)
		fields := http.Header{}
		h, ok := parseEarlyHead(data, func(name, value []byte) { fields.Add(string(name), string(value)) })
		if !ok {
			return
		}
		r := bufio.NewReader(bytes.NewReader(data))
		req, err := http.ReadRequest(r)
		if err != nil {
			// net/http answers 400, an early refusal does not run the request either.
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || len(body) != h.bodySize || r.Buffered() > 0 {
			t.Fatalf("%q: net/http read a body of %d bytes with %d left (error %v), the early parser one of %d", data, len(body), r.Buffered(), err, h.bodySize)
		}
		if req.Host != h.host || req.URL.Path != h.path || req.Method != http.MethodPost {
			t.Fatalf("%q: net/http read %s %s %s, the early parser %s %s", data, req.Method, req.Host, req.URL.Path, h.host, h.path)
		}
		for name, values := range fields {
			if got := req.Header[name]; fmt.Sprint(got) != fmt.Sprint(values) {
				t.Fatalf("%q: net/http read field %s as %q, the early parser as %q", data, name, got, values)
			}
		}
	})
}
