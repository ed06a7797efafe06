package contract

import (
	"net/http"
	"slices"
	"strings"

	"github.com/umberhill/umberhill/internal/api"
)

// Classify returns the class of a request. The first route that matches counts.
// Without one, model requests are idempotent, and requests to a plain service
// are idempotent only where HTTP defines the method as safe.
//
// The service is "" for model requests; the path is what follows the service's
// name. A nil contract has no routes.
func Classify(c *api.Contract, service, model, method, path string) api.Class {
	if c != nil {
		for _, r := range c.Routes {
			if matches(r, service, model, method, path) {
				return r.Class
			}
		}
	}
	if service == "" || isSafe(method) {
		return api.ClassIdempotent
	}
	return api.ClassOnceOnly
}

func matches(r api.Route, service, model, method, path string) bool {
	if r.Service != service {
		return false
	}
	if r.Model != "" && r.Model != model {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return hasPathPrefix(path, prefixOf(r))
}

// hasPathPrefix compares whole path segments: "/orders" covers "/orders/7" but
// not "/orders-archive".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

func prefixOf(r api.Route) string {
	if r.PathPrefix == "" {
		return DefaultPathPrefix
	}
	return r.PathPrefix
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
