package platform

import (
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

// Split splits a response. Elements are not decoded, so that none makes others unreadable: each
// is the object of another writer.
//
// A response that is no JSON because of some of its elements is split as well: such an element
// ends before the next text that is an element, or at the end of the array. One at the end of the
// array that leaves an object or array open is an error if no known member follows: the response
// may have been cut off in it.
func (f Format) Split(body []byte) (Elements, error) {
	elements, err := f.split(body, func(at int) ([][]byte, int, error) { return splitArray(body, at) })
	if err != nil {
		var repairErr error
		if elements, repairErr = f.split(body, newRepairer(f, body).splitArray); repairErr == nil {
			err = nil
		}
	}
	return elements, errors.Wrapf(err, "split the elements of %q", f.Array)
}

// split splits a response with a function that splits its array.
func (f Format) split(body []byte, splitArray func(at int) (texts [][]byte, end int, err error)) (Elements, error) {
	out := Elements{members: make(map[string][]byte, len(f.Members))}
	end, err := jsontext.Members(body, 0, func(name string, at int) (end int, err error) {
		if name == f.Array && at < len(body) && body[at] == '[' && out.Texts == nil {
			out.Texts, end, err = splitArray(at)
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

// splitArray splits the array that begins at at into its elements, and returns its end.
func splitArray(body []byte, at int) (texts [][]byte, end int, err error) {
	texts = [][]byte{}
	if at = jsontext.SkipSpace(body, at+1); at < len(body) && body[at] == ']' {
		return texts, at + 1, nil
	}
	for {
		end, err := jsontext.Skip(body, at)
		if err != nil {
			return nil, 0, err
		}
		texts = append(texts, body[at:end])
		end = jsontext.SkipSpace(body, end)
		switch {
		case end < len(body) && body[end] == ']':
			return texts, end + 1, nil
		case end == len(body) || body[end] != ',':
			return nil, 0, &jsontext.SyntaxError{Offset: end}
		}
		at = jsontext.SkipSpace(body, end+1)
	}
}

// Decode decodes the member with the given name into v, which keeps its value if there is none.
func (e Elements) Decode(name string, v any) error {
	text, exists := e.members[name]
	if !exists {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(text, v), "decode %q", name)
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
