package admit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// newVersionedHarness returns a harness with one engine of each version.
func newVersionedHarness(t *testing.T, versions ...string) *harness {
	h := newHarness(t, len(versions), 0)
	h.setVersions(versions...)
	return h
}

func (h *harness) setVersions(versions ...string) {
	var all []routing.Target
	for _, v := range versions {
		all = append(all, routing.Target{ID: ids.Target("e-" + v), Service: "llm", Domain: "z", Slots: 8, SoftwareVersion: v})
	}
	h.SetTargets(all)
}

func (h *harness) resume(now time.Time, version string) admit.Verdict {
	h.lastID++
	return h.Submit(now, admit.Request{
		ID: h.lastID, Service: "llm", Workspace: "a", PromptTokens: 100, OutputTokens: 10, ArrivedAt: now,
		Deadline: now.Add(responseTimeout), Objective: objective, KeepsVersion: true, SoftwareVersion: version,
	})
}

// Guards against a resumed stream that is placed at another software version.
func TestResumedStreamIsPlacedAtItsVersion(t *testing.T) {
	h := newVersionedHarness(t, "v1", "v2")
	for range 4 {
		if v := h.resume(start, "v2"); v.Target.SoftwareVersion != "v2" {
			t.Errorf("stream of v2: got target %q, reason %q, want a target of v2", v.Target.ID, v.Refused)
		}
	}
	if v := h.resume(start, "v0"); v.Refused != admit.NoVersion || v.RetryAfter != 0 {
		t.Errorf("stream of a version without targets: got %+v, want it refused without Retry-After", v)
	}
}

// Guards against refusals of new requests since the targets of one version are busy.
func TestRefusalAtOneVersionDoesNotRefuseOtherRequests(t *testing.T) {
	h := newVersionedHarness(t, "v1", "v2")
	refused := false
	for range 200 {
		v := h.resume(start, "v2")
		refused = refused || v.Refused != ""
	}
	if !refused {
		t.Fatal("200 streams of v2 at one engine: none refused")
	}
	if v := h.submit(start, "b", "llm", prompt(7, 300, 100)...); v.Target.SoftwareVersion != "v1" {
		t.Errorf("new request while only v2 is busy: got %+v, want it sent to v1", v)
	}
}

// Guards against a resumed stream that waits although its version has left.
func TestQueuedStreamIsRefusedWhenItsVersionLeaves(t *testing.T) {
	h := newVersionedHarness(t, "v1", "v2")
	var waiting admit.Verdict
	for range 200 {
		if waiting = h.resume(start, "v2"); waiting.Waiting {
			break
		}
	}
	if !waiting.Waiting {
		t.Fatal("200 streams of v2 at one engine: none queued")
	}
	h.setVersions("v1")
	for _, v := range h.Poll(start.Add(10 * time.Millisecond)) {
		if v.ID == waiting.ID && v.Refused == admit.NoVersion {
			return
		}
	}
	t.Errorf("queued stream of v2, which has left: got no verdict %q", admit.NoVersion)
}

// Guards against a resumed stream that is refused for good, without Retry-After, although its
// service has no target at all for the moment.
func TestStreamOfAServiceWithoutTargetsMayBeResumedLater(t *testing.T) {
	h := newVersionedHarness(t, "v1")
	h.setVersions()
	if v := h.resume(start, "v1"); v.Refused != admit.NoTarget || v.RetryAfter <= 0 {
		t.Errorf("no target listed: got reason %q, Retry-After %v, want %q with a Retry-After", v.Refused, v.RetryAfter, admit.NoTarget)
	}
}
