// Package jsontext reads JSON texts in which parts may be odd. It finds the ends of values by the
// grammar of encoding/json, without a limit of depth and without decoding them, and compares the
// names of members exactly.
package jsontext
