// Package filter holds the chain through which every caller's request passes.
// Each filter is a small package of its own below this one; it looks at the
// Exchange, may end it with an error, and hands on to the next.
package filter
