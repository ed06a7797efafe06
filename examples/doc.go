// Package examples holds example settings and contract files. Its tests check that
// they are valid and name every field of the schemas.
package examples
