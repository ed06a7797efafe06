package platform

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/jsontext"
)

// maxRestBytes bounds what may follow the array in a response that is no JSON. The members beside
// the array are numbers and booleans.
const maxRestBytes = 4 << 10

// repairer splits the array of a response that is no JSON. Its time is linear in the size of the
// response: a text is scanned as part of an enclosing one and by itself, and not again.
type repairer struct {
	Format
	body []byte
	// rejected marks the offsets of the objects and arrays that are no elements, since they have no
	// end or no delimiter follows it.
	rejected bitset
}

func newRepairer(f Format, body []byte) *repairer {
	return &repairer{Format: f, body: body, rejected: make(bitset, len(body)/bitsPerWord+1)}
}

// splitArray splits the array that begins at at into the texts of its elements, and returns its
// end.
func (r *repairer) splitArray(at int) (texts [][]byte, end int, err error) {
	texts = [][]byte{}
	if at = jsontext.SkipSpace(r.body, at+1); r.isEndOfArray(at) {
		return texts, at + 1, nil
	}
	for {
		end, ok := r.skipObject(at)
		delimiter := jsontext.SkipSpace(r.body, end)
		if !ok {
			if delimiter, err = r.endOfInvalid(at); err != nil {
				return nil, 0, err
			}
			end = delimiter
		}
		texts = append(texts, r.body[at:end])
		if r.body[delimiter] == ']' {
			return texts, delimiter + 1, nil
		}
		at = jsontext.SkipSpace(r.body, delimiter+1)
	}
}

// skipObject returns the end of the object at at. ok is false if there is none, or no delimiter
// follows it.
func (r *repairer) skipObject(at int) (end int, ok bool) {
	if at == len(r.body) || r.body[at] != '{' || r.rejected.has(at) {
		return 0, false
	}
	end, err := jsontext.SkipFunc(r.body, at, func(start, end int) {
		if !r.isDelimiter(jsontext.SkipSpace(r.body, end)) {
			r.rejected.set(start)
		}
	})
	var syntax *jsontext.SyntaxError
	if errors.As(err, &syntax) {
		for _, start := range syntax.Open {
			r.rejected.set(start)
		}
	}
	return end, err == nil && !r.rejected.has(at)
}

// endOfInvalid returns the offset of the delimiter after an element at at that is no JSON, or that
// takes in what follows it.
func (r *repairer) endOfInvalid(at int) (delimiter int, err error) {
	for i := at; ; {
		comma := bytes.IndexByte(r.body[i:], ',')
		if comma < 0 {
			break
		}
		delimiter = i + comma
		i = delimiter + 1
		start := jsontext.SkipSpace(r.body, i)
		end, ok := r.skipObject(start)
		switch {
		case !ok:
		case r.IsElement(r.body[start:end]):
			return delimiter, nil
		default:
			i = end
		}
	}
	delimiter = bytes.LastIndexByte(r.body, ']')
	known, ok := r.membersAfter(delimiter + 1)
	if delimiter < at || !ok || known == 0 && r.mayBeCut(at) {
		return 0, errors.Newf("element at offset %d has no end", at)
	}
	return delimiter, nil
}

// mayBeCut reports whether the response may have been cut off in the element at at.
func (r *repairer) mayBeCut(at int) bool {
	_, err := jsontext.Skip(r.body, at)
	var syntax *jsontext.SyntaxError
	return !errors.As(err, &syntax) || syntax.Offset == len(r.body)
}

// isDelimiter reports whether a comma is at an offset, or the end of the array.
func (r *repairer) isDelimiter(offset int) bool {
	return offset < len(r.body) && r.body[offset] == ',' || r.isEndOfArray(offset)
}

// isEndOfArray reports whether a closing bracket is at an offset, after which the response ends
// properly.
func (r *repairer) isEndOfArray(offset int) bool {
	if offset == len(r.body) || r.body[offset] != ']' {
		return false
	}
	_, ok := r.membersAfter(offset + 1)
	return ok
}

// membersAfter returns how many known members the rest of the response has, and whether it ends
// properly.
func (r *repairer) membersAfter(at int) (known int, ok bool) {
	rest := r.body[at:]
	if len(rest) > maxRestBytes {
		return 0, false
	}
	// Complete the rest to an object.
	rest = slices.Concat([]byte(`{"":0`), rest)
	end, err := jsontext.Members(rest, 0, func(name string, at int) (int, error) {
		if slices.Contains(r.Members, name) {
			known++
		}
		return jsontext.Skip(rest, at)
	})
	return known, err == nil && jsontext.SkipSpace(rest, end) == len(rest)
}

// bitset is a set of offsets.
type bitset []uint64

const bitsPerWord = 64

func (b bitset) has(i int) bool { return b[i/bitsPerWord]&(1<<(i%bitsPerWord)) != 0 }

func (b bitset) set(i int) { b[i/bitsPerWord] |= 1 << (i % bitsPerWord) }
