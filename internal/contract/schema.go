package contract

import _ "embed"

// Schema is the JSON Schema of a contract. It is generated from the types of
// package api; the tests keep it true.
//
//go:embed schema.json
var Schema []byte
