package settings

import _ "embed"

// Schema is the JSON Schema of the settings file. It is generated from the types
// of this package; the tests keep it true.
//
//go:embed schema.json
var Schema []byte
