package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestBodiesAreBoundedInSum(t *testing.T) {
	s := New(Options{MaxBodies: 100})
	read := func(n int) (*exchange, *refusal) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", n)))
		e := &exchange{server: s, w: httptest.NewRecorder(), r: r}
		return e, e.readBody(1000)
	}
	first, refused := read(80)
	if refused != nil || len(first.body) != 80 {
		t.Fatalf("refused %+v, %d bytes", refused, len(first.body))
	}
	if _, refused := read(30); refused == nil || refused.status != http.StatusServiceUnavailable || refused.retryAfter == 0 {
		t.Errorf("a body beyond the sum got %+v", refused)
	}
	s.bodies.give(first.reserved)
	if _, refused := read(30); refused != nil {
		t.Errorf("refused %+v although there is room again", refused)
	}
	if _, refused := read(2000); refused == nil || refused.status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body beyond the limit of one got %+v", refused)
	}
}
