package platform

import (
	"bytes"
	"encoding/json"

	"github.com/buger/jsonparser"
	"github.com/cockroachdb/errors"
)

// DecodeObjects decodes a response with an array of objects under arrayKey, and what is
// beside the array into response. The value of each object, under valueKeys of the element, is
// cut out without being decoded, so that one that cannot be, such as one that is nested more
// deeply than encoding/json accepts, does not make the others unreadable. add is called for
// each element without its value, and with the value, nil if there is none.
func DecodeObjects(body []byte, arrayKey string, valueKeys []string, response any, add func(element []byte, value json.RawMessage) error) error {
	rest, array, err := cutValue(body, arrayKey)
	if err != nil {
		return errors.Wrapf(err, "find %q in the response", arrayKey)
	}
	if err := json.Unmarshal(rest, response); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	if array == nil || string(array) == "null" {
		return nil
	}
	var elementErr error
	_, err = jsonparser.ArrayEach(array, func(element []byte, _ jsonparser.ValueType, _ int, _ error) {
		if elementErr != nil {
			return
		}
		var value []byte
		if element, value, elementErr = cutValue(element, valueKeys...); elementErr == nil {
			elementErr = add(element, value)
		}
	})
	if elementErr != nil {
		err = elementErr
	}
	return errors.Wrapf(err, "decode the objects in %q", arrayKey)
}

// cutValue returns a JSON document with null in place of the value under the keys, and that
// value, nil if there is none. Neither shares memory with the document.
func cutValue(doc []byte, keys ...string) (rest, value []byte, err error) {
	found, kind, end, err := jsonparser.Get(doc, keys...)
	if errors.Is(err, jsonparser.KeyPathNotFoundError) {
		return bytes.Clone(doc), nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	start := end - len(found)
	if kind == jsonparser.String {
		start -= len(`""`) // which are not part of what was found
	}
	rest = make([]byte, 0, len(doc)-(end-start)+len("null"))
	rest = append(append(append(rest, doc[:start]...), "null"...), doc[end:]...)
	return rest, bytes.Clone(doc[start:end]), nil
}
