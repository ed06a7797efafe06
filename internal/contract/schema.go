package contract

import _ "embed"

// Schema is the JSON Schema of a contract. It is generated from the types of
// package api, and a test compares it with them.
//
//go:embed schema.json
var Schema []byte
