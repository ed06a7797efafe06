// Package filter defines the chain of filters that handles every caller's request.
// Each filter is a package below this one. A filter inspects the Exchange and
// either returns an error, which ends the request, or calls the next filter.
package filter
