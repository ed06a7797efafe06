// Package jsontext finds values in JSON texts without decoding them. It accepts the grammar of
// encoding/json, but has no limit of depth and compares names of members exactly.
package jsontext
