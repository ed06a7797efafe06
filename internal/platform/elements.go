package platform

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/jsontext"
)

// Format is the JSON encoding of a response with an array of elements.
type Format struct {
	// Array is the name of the array.
	Array string
	// Members are the names of the members beside it that are read.
	Members []string
	// IsElement reports whether a JSON text is an element.
	IsElement func(text []byte) bool
}

// Elements is a response that is split into the texts of its elements and members.
type Elements struct {
	// Texts are the texts of the elements, in order. They share the memory of the response. One
	// that is no JSON is among them.
	Texts [][]byte

	members map[string][]byte
}

// maxRestBytes bounds what may follow the array in a response that is no JSON. The members beside
// the array are numbers and booleans.
const maxRestBytes = 4 << 10

// Split splits a response. Elements are not decoded, so that none makes others unreadable: each
// is the object of another writer.
//
// A response that is no JSON because of some of its elements is split as well: such an element
// ends before the next text that is an element, or at the end of the array. One at the end of the
// array that leaves an object or array open is an error if no known member follows: the response
// may have been cut off in it.
func (f Format) Split(body []byte) (Elements, error) {
	elements, err := f.split(body, false)
	if err != nil {
		var repairErr error
		if elements, repairErr = f.split(body, true); repairErr == nil {
			err = nil
		}
	}
	return elements, errors.Wrapf(err, "split the elements of %q", f.Array)
}

func (f Format) split(body []byte, repairs bool) (Elements, error) {
	out := Elements{members: make(map[string][]byte, len(f.Members))}
	end, err := jsontext.Members(body, 0, func(name string, at int) (end int, err error) {
		if name == f.Array && at < len(body) && body[at] == '[' && out.Texts == nil {
			out.Texts, end, err = f.splitArray(body, at, repairs)
			return end, err
		}
		end, err = jsontext.Skip(body, at)
		switch {
		case err != nil:
			return end, err
		case name == f.Array && string(body[at:end]) != "null":
			return end, errors.New("the member is no array, or not the only one of its name")
		case slices.Contains(f.Members, name):
			out.members[name] = body[at:end]
		}
		return end, nil
	})
	if err == nil && jsontext.SkipSpace(body, end) < len(body) {
		err = &jsontext.SyntaxError{Offset: end}
	}
	return out, err
}

// Decode decodes the member with the given name into v, which keeps its value if there is none.
func (e Elements) Decode(name string, v any) error {
	text, exists := e.members[name]
	if !exists {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(text, v), "decode %q", name)
}

// splitArray splits the array that begins at at into its elements, and returns its end.
func (f Format) splitArray(body []byte, at int, repairs bool) (texts [][]byte, end int, err error) {
	texts = [][]byte{}
	if at = jsontext.SkipSpace(body, at+1); at < len(body) && body[at] == ']' && f.isDelimiter(body, at, repairs) {
		return texts, at + 1, nil
	}
	for {
		end, err := jsontext.Skip(body, at)
		delimiter := jsontext.SkipSpace(body, end)
		isElement := err == nil && (!repairs || body[at] == '{')
		switch {
		case isElement && f.isDelimiter(body, delimiter, repairs):
		case !repairs && err == nil:
			return nil, 0, &jsontext.SyntaxError{Offset: delimiter}
		case !repairs:
			return nil, 0, err
		default:
			if delimiter, err = f.endOfInvalid(body, at, err); err != nil {
				return nil, 0, err
			}
			end = delimiter
		}
		texts = append(texts, body[at:end])
		if body[delimiter] == ']' {
			return texts, delimiter + 1, nil
		}
		at = jsontext.SkipSpace(body, delimiter+1)
	}
}

// isDelimiter reports whether a comma between elements is at an offset, or the end of the array.
// In a response that is no JSON, a bracket is that end only if the response ends properly after it.
func (f Format) isDelimiter(body []byte, offset int, repairs bool) bool {
	switch {
	case offset == len(body):
		return false
	case body[offset] == ']' && repairs:
		_, ok := f.membersAfter(body, offset+1)
		return ok
	}
	return body[offset] == ',' || body[offset] == ']'
}

// endOfInvalid returns the offset of the delimiter after an element at at that is no JSON, or that
// takes in what follows it. skipErr is the error of skipping it, if any. No text is skipped twice,
// so that the time is linear in the size of the response.
func (f Format) endOfInvalid(body []byte, at int, skipErr error) (delimiter int, err error) {
	// endless has the starts of the objects and arrays that are known to have no end.
	endless := make(map[int]bool)
	addEndless := func(err error) {
		var syntax *jsontext.SyntaxError
		if errors.As(err, &syntax) {
			for _, start := range syntax.Open {
				endless[start] = true
			}
		}
	}
	addEndless(skipErr)
	for i := at; ; {
		comma := bytes.IndexByte(body[i:], ',')
		if comma < 0 {
			break
		}
		delimiter = i + comma
		i = delimiter + 1
		start := jsontext.SkipSpace(body, i)
		if start == len(body) || body[start] != '{' || endless[start] {
			continue
		}
		end, err := jsontext.Skip(body, start)
		switch {
		case err != nil:
			addEndless(err)
		case !f.isDelimiter(body, jsontext.SkipSpace(body, end), true):
		case f.IsElement(body[start:end]):
			return delimiter, nil
		default:
			i = end
		}
	}
	delimiter = bytes.LastIndexByte(body, ']')
	known, ok := f.membersAfter(body, delimiter+1)
	var syntax *jsontext.SyntaxError
	mayBeCut := skipErr == nil || errors.As(skipErr, &syntax) && syntax.Offset == len(body)
	if delimiter < at || !ok || known == 0 && mayBeCut {
		return 0, errors.Newf("element at offset %d has no end", at)
	}
	return delimiter, nil
}

// membersAfter returns how many known members the rest of a response has, and whether it ends
// properly.
func (f Format) membersAfter(body []byte, at int) (known int, ok bool) {
	rest := body[at:]
	if len(rest) > maxRestBytes {
		return 0, false
	}
	// Complete the rest to an object.
	rest = slices.Concat([]byte(`{"":0`), rest)
	end, err := jsontext.Members(rest, 0, func(name string, at int) (int, error) {
		if slices.Contains(f.Members, name) {
			known++
		}
		return jsontext.Skip(rest, at)
	})
	return known, err == nil && jsontext.SkipSpace(rest, end) == len(rest)
}

// EachMember calls visit with the name and the text of each member of an object. An error of visit
// does not keep the members after it from being visited; the first one is returned.
func EachMember(object []byte, visit func(name string, text []byte) error) error {
	var visitErr error
	end, err := jsontext.Members(object, 0, func(name string, at int) (int, error) {
		end, err := jsontext.Skip(object, at)
		if err != nil {
			return end, err
		}
		if err := visit(name, object[at:end]); err != nil && visitErr == nil {
			visitErr = errors.Wrapf(err, "member %q", name)
		}
		return end, nil
	})
	switch {
	case visitErr != nil:
		return visitErr
	case err == nil && jsontext.SkipSpace(object, end) < len(object):
		return &jsontext.SyntaxError{Offset: end}
	}
	return err
}
