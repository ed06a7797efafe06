// Package examples holds example files; its tests keep them true.
package examples
