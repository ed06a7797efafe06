package jsontext

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// usualDepth is the depth for which Skip needs no memory on the heap. Objects of the platform are
// no deeper.
const usualDepth = 16

// SyntaxError reports that a text is no JSON.
type SyntaxError struct {
	// Offset is where the text cannot be continued.
	Offset int
	// Open are the offsets of the objects and arrays that are not closed there, in order.
	Open []int
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("no JSON at offset %d", e.Offset) }

// SkipSpace returns the offset of the first byte from at on that is no white space.
func SkipSpace(text []byte, at int) int {
	for at < len(text) && (text[at] == ' ' || text[at] == '\n' || text[at] == '\r' || text[at] == '\t') {
		at++
	}
	return at
}

// Skip returns the end of the value that begins at at, or after the white space there. The error
// is a *SyntaxError.
func Skip(text []byte, at int) (end int, err error) { return SkipFunc(text, at, nil) }

// SkipFunc is like Skip, and calls closed, if not nil, for each object and array that ends.
func SkipFunc(text []byte, at int, closed func(start, end int)) (end int, err error) {
	var shallow [usualDepth]int
	s := skipper{text: text, at: at, open: shallow[:0], closed: closed}
	isDone, ok := false, true
	for ok && !isDone {
		if ok = s.skipToEnd(); ok {
			isDone, ok = s.skipToNext()
		}
	}
	if !ok {
		return 0, &SyntaxError{Offset: s.at, Open: slices.Clone(s.open)}
	}
	return s.at, nil
}

// skipper skips a value. It is iterative, so that the depth of the value has no limit.
type skipper struct {
	text []byte
	at   int
	// open are the offsets of the objects and arrays that at is in.
	open []int
	// closed, if not nil, is called for each of them that ends.
	closed func(start, end int)
}

// skipToEnd skips up to the end of a scalar or of an empty object or array, and opens those that
// enclose it.
func (s *skipper) skipToEnd() (ok bool) {
	for {
		s.at = SkipSpace(s.text, s.at)
		if s.at == len(s.text) || s.text[s.at] != '{' && s.text[s.at] != '[' {
			s.at, ok = skipScalar(s.text, s.at)
			return ok
		}
		s.open = append(s.open, s.at)
		s.at = SkipSpace(s.text, s.at+1)
		if s.closes() {
			return true
		}
		if !s.skipMemberName() {
			return false
		}
	}
}

// skipToNext skips the ends of the objects and arrays that end after a value, and moves to the
// next value. isDone is set if there is none.
func (s *skipper) skipToNext() (isDone, ok bool) {
	for len(s.open) > 0 {
		s.at = SkipSpace(s.text, s.at)
		switch {
		case s.closes():
		case s.at == len(s.text) || s.text[s.at] != ',':
			return false, false
		default:
			s.at++
			return false, s.skipMemberName()
		}
	}
	return true, true
}

// closes skips the delimiter that closes the innermost object or array, if it is the next byte.
func (s *skipper) closes() bool {
	innermost := len(s.open) - 1
	if s.at == len(s.text) || s.text[s.at] != closing(s.text[s.open[innermost]]) {
		return false
	}
	s.at++
	if s.closed != nil {
		s.closed(s.open[innermost], s.at)
	}
	s.open = s.open[:innermost]
	return true
}

// skipMemberName skips the name of the next member in an object. Elements of arrays have none.
func (s *skipper) skipMemberName() (ok bool) {
	if s.text[s.open[len(s.open)-1]] == '[' {
		return true
	}
	s.at, ok = skipName(s.text, s.at)
	return ok
}

// closing returns the delimiter that closes an object or array.
func closing(opening byte) byte {
	if opening == '{' {
		return '}'
	}
	return ']'
}

// skipName skips the name of a member and the colon after it.
func skipName(text []byte, at int) (end int, ok bool) {
	if at, ok = skipString(text, SkipSpace(text, at)); !ok {
		return at, false
	}
	at = SkipSpace(text, at)
	if at == len(text) || text[at] != ':' {
		return at, false
	}
	return at + 1, true
}

// skipScalar skips a string, number or literal. If there is none, end is where the text cannot be
// continued.
func skipScalar(text []byte, at int) (end int, ok bool) {
	if at == len(text) {
		return at, false
	}
	switch c := text[at]; {
	case c == '"':
		return skipString(text, at)
	case c == '-' || isDigit(c):
		return skipNumber(text, at)
	}
	for _, literal := range [...]string{"true", "false", "null"} {
		n := 0
		for n < len(literal) && at+n < len(text) && text[at+n] == literal[n] {
			n++
		}
		if n > 0 {
			return at + n, n == len(literal)
		}
	}
	return at, false
}

func skipString(text []byte, at int) (end int, ok bool) {
	if at == len(text) || text[at] != '"' {
		return at, false
	}
	for at++; at < len(text); at++ {
		switch c := text[at]; {
		case c == '"':
			return at + 1, true
		case c < ' ':
			return at, false
		case c == '\\':
			if at, ok = skipEscape(text, at+1); !ok {
				return at, false
			}
		}
	}
	return at, false
}

// skipEscape returns the offset of the last byte of the escape sequence after a backslash.
func skipEscape(text []byte, at int) (last int, ok bool) {
	if at == len(text) {
		return at, false
	}
	switch text[at] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return at, true
	case 'u':
		for range 4 {
			if at++; at == len(text) || !isHexDigit(text[at]) {
				return at, false
			}
		}
		return at, true
	}
	return at, false
}

func skipNumber(text []byte, at int) (end int, ok bool) {
	if text[at] == '-' {
		at++
	}
	if at < len(text) && text[at] == '0' {
		at++
	} else if at, ok = skipDigits(text, at); !ok {
		return at, false
	}
	if at < len(text) && text[at] == '.' {
		if at, ok = skipDigits(text, at+1); !ok {
			return at, false
		}
	}
	if at < len(text) && (text[at] == 'e' || text[at] == 'E') {
		if at++; at < len(text) && (text[at] == '+' || text[at] == '-') {
			at++
		}
		return skipDigits(text, at)
	}
	return at, true
}

// skipDigits skips one digit or more.
func skipDigits(text []byte, at int) (end int, ok bool) {
	start := at
	for at < len(text) && isDigit(text[at]) {
		at++
	}
	return at, at > start
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isHexDigit(c byte) bool { return isDigit(c) || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F' }

// Members calls visit for each member of the object that begins at at, or after the white space
// there, with the member's name and the offset of its value, and returns the end of the object.
// visit returns the end of the value. An error does not undo the calls before it.
func Members(text []byte, at int, visit func(name string, at int) (end int, err error)) (end int, err error) {
	at = SkipSpace(text, at)
	if at == len(text) || text[at] != '{' {
		return 0, &SyntaxError{Offset: at}
	}
	at = SkipSpace(text, at+1)
	if at < len(text) && text[at] == '}' {
		return at + 1, nil
	}
	for {
		name, start, err := memberName(text, at)
		if err != nil {
			return 0, err
		}
		if at, err = visit(name, start); err != nil {
			return 0, err
		}
		at = SkipSpace(text, at)
		switch {
		case at < len(text) && text[at] == '}':
			return at + 1, nil
		case at == len(text) || text[at] != ',':
			return 0, &SyntaxError{Offset: at}
		}
		at++
	}
}

// memberName decodes the name of a member and returns the offset of the member's value.
func memberName(text []byte, at int) (name string, valueAt int, err error) {
	at = SkipSpace(text, at)
	end, ok := skipName(text, at)
	if !ok {
		return "", 0, &SyntaxError{Offset: end}
	}
	nameEnd, _ := skipString(text, at)
	name, err = decodeString(text[at:nameEnd])
	return name, SkipSpace(text, end), errors.Wrap(err, "decode the name of a member")
}

// decodeString decodes a string as encoding/json does, and faster in the usual case.
func decodeString(quoted []byte) (s string, err error) {
	if content := quoted[1 : len(quoted)-1]; bytes.IndexByte(content, '\\') < 0 && utf8.Valid(content) {
		return string(content), nil
	}
	err = json.Unmarshal(quoted, &s)
	return s, err
}
