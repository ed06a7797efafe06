package contract

import (
	"net/http"
	"slices"
	"strings"

	"github.com/umberhill/umberhill/internal/api"
)

// Classify returns the class of a request, which is that of the first matching route.
// Without a matching route, model requests are idempotent, and requests to a plain
// service are once-only unless HTTP defines their method as safe.
//
// The service is empty for model requests. The path is the part of the URL path after
// the name of the service. A nil contract has no routes.
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
	return hasPathPrefix(path, prefixOrDefault(r))
}

// hasPathPrefix reports whether path has the prefix in whole segments: "/orders" is a
// prefix of "/orders/7" but not of "/orders-archive".
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

func prefixOrDefault(r api.Route) string {
	if r.PathPrefix == "" {
		return DefaultPathPrefix
	}
	return r.PathPrefix
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
