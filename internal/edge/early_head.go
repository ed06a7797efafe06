package edge

import (
	"bytes"
	"strconv"
	"strings"
)

// maxEarlyBody bounds the body of a request that is parsed early. It has to arrive together
// with the head.
const maxEarlyBody = 64 << 10

// earlyHead is the head of a request in its usual form.
type earlyHead struct {
	host, path string
	// size is that of the head and bodySize that of the body, in bytes.
	size, bodySize int
}

// parseEarlyHead parses a request that has arrived whole and with nothing after it, and passes
// the fields of its head to field. It accepts only what has one meaning for every parser, and
// returns false otherwise: net/http then decides on the request.
func parseEarlyHead(data []byte, field func(name, value []byte)) (earlyHead, bool) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		return earlyHead{}, false
	}
	h := earlyHead{size: end + len("\r\n\r\n")}
	line, rest, _ := bytes.Cut(data[:end], []byte("\r\n"))
	if !h.parseRequestLine(line) {
		return h, false
	}
	hasLength := false
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := cutField(line)
		if !ok {
			return h, false
		}
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			if h.host != "" {
				return h, false
			}
			h.host = string(value)
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, ok := parseLength(value)
			if !ok || hasLength {
				return h, false
			}
			h.bodySize, hasLength = n, true
		case bytes.EqualFold(name, []byte("Connection")):
			if !bytes.EqualFold(value, []byte("keep-alive")) {
				return h, false
			}
		case isFraming(name):
			return h, false
		default:
			field(name, value)
		}
	}
	return h, h.host != "" && h.size+h.bodySize == len(data)
}

// parseRequestLine parses a POST of HTTP/1.1 with a plain path.
func (h *earlyHead) parseRequestLine(line []byte) bool {
	target, ok := bytes.CutPrefix(line, []byte("POST "))
	if !ok {
		return false
	}
	if target, ok = bytes.CutSuffix(target, []byte(" HTTP/1.1")); !ok {
		return false
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	h.path = string(path)
	return strings.HasPrefix(h.path, "/") && !bytes.ContainsAny(target, " %#\t\r\n\x00\\") && !strings.Contains(h.path, "//")
}

// cutField splits a field line. It returns false if the line is not in the usual form.
func cutField(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsAny(line, "\r\n\x00") {
		return nil, nil, false
	}
	return name, bytes.Trim(value, " \t"), true
}

func parseLength(value []byte) (int, bool) {
	n, err := strconv.ParseUint(string(value), 10, 31)
	return int(n), err == nil && n <= maxEarlyBody
}

// isFraming reports whether a field changes how the request or the connection is read.
func isFraming(name []byte) bool {
	for _, framing := range [...]string{"Transfer-Encoding", "Expect", "Upgrade", "Trailer", "Te"} {
		if len(name) == len(framing) && strings.EqualFold(string(name), framing) {
			return true
		}
	}
	return false
}
