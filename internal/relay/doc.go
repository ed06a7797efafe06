// Package relay carries one attempt of a request to a target and its answer
// back. It knows the protocols of engines and plain services, tells whether an
// attempt certainly did not run, and never passes on a part as a whole.
package relay
