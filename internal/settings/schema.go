package settings

import _ "embed"

// Schema is the JSON Schema of the settings file. It is generated from the types
// of this package, and a test compares it with them.
//
//go:embed schema.json
var Schema []byte
