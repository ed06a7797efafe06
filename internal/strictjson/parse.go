package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// maxDepth is the maximum depth of nested arrays and objects.
const maxDepth = 32

// member is one member of a JSON object.
type member struct {
	name string
	node node
}

// node is one JSON value. delim is '{' for an object, whose members are in the order of
// the text, '[' for an array and 0 for a scalar. A scalar is a string, json.Number,
// bool or nil.
type node struct {
	delim   json.Delim
	members []member
	items   []node
	scalar  any
}

// kind returns the name of the value's JSON type for error messages.
func (n node) kind() string {
	switch n.delim {
	case '{':
		return "object"
	case '[':
		return "array"
	}
	switch n.scalar.(type) {
	case string:
		return "string"
	case json.Number:
		return "number"
	case bool:
		return "boolean"
	}
	return "null"
}

// parse parses exactly one JSON value. Text after the value is an error.
func parse(data []byte) (node, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	n, err := parseNode(dec, 0)
	if err != nil {
		return node{}, errors.Wrapf(err, "bad JSON near byte %d", dec.InputOffset())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return node{}, errors.Newf("bad JSON: text after the value, at byte %d", dec.InputOffset())
	}
	return n, nil
}

func parseNode(dec *json.Decoder, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, errors.Newf("nested deeper than %d", maxDepth)
	}
	tok, err := dec.Token()
	if err != nil {
		return node{}, unexpectedEnd(err)
	}
	delim, ok := tok.(json.Delim)
	if !ok {
		return node{scalar: tok}, nil
	}
	n := node{delim: delim}
	for dec.More() {
		if err := parseElement(dec, &n, depth); err != nil {
			return node{}, err
		}
	}
	_, err = dec.Token()
	return n, unexpectedEnd(err)
}

func parseElement(dec *json.Decoder, n *node, depth int) error {
	var name string
	if n.delim == '{' {
		tok, err := dec.Token()
		if err != nil {
			return unexpectedEnd(err)
		}
		name = fmt.Sprint(tok)
	}
	child, err := parseNode(dec, depth+1)
	if err != nil {
		return err
	}
	if n.delim == '{' {
		n.members = append(n.members, member{name: name, node: child})
		return nil
	}
	n.items = append(n.items, child)
	return nil
}

// unexpectedEnd replaces io.EOF within a value by io.ErrUnexpectedEOF. It returns
// other errors unchanged.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
