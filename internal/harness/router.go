package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/standin/platform"
)

// Router is a running umberhilld.
type Router struct {
	*Proc
	ID     string
	Domain string
	// CallersAddress, AdminAddress and PeerAddress are the addresses of the
	// listeners.
	CallersAddress string
	AdminAddress   string
	PeerAddress    string
	// SettingsFile is the path of the settings file.
	SettingsFile string

	client *http.Client
}

// Restart starts the router again at the same addresses after it has exited.
func (r *Router) Restart(ctx context.Context) error { return r.start(ctx) }

// start starts the process and waits until the router is ready.
func (r *Router) start(ctx context.Context) error {
	if err := r.Start(); err != nil {
		return err
	}
	return r.WaitReady(ctx, readyTimeout)
}

// Start starts the process and does not wait until the router is ready.
func (r *Router) Start() error {
	_, err := r.Proc.start()
	return err
}

// WaitReady waits until the router reports that it is ready.
func (r *Router) WaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !r.IsReady(ctx) {
		if !r.IsRunning() {
			return errors.Newf("router %s exited before it was ready", r.ID)
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.Newf("router %s not ready after %s", r.ID, timeout)
		}
	}
	return nil
}

// IsReady reports whether the router's readiness endpoint answers with success.
func (r *Router) IsReady(ctx context.Context) bool {
	return callJSON(ctx, r.client, http.MethodGet, "http://"+r.AdminAddress+"/readyz", nil, nil) == nil
}

// Metrics returns the router's metrics as text.
func (r *Router) Metrics(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.AdminAddress+"/metrics", nil)
	if err != nil {
		return "", errors.Wrap(err, "create metrics request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return "", errors.Wrapf(err, "metrics of router %s", r.ID)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), errors.Wrapf(err, "metrics of router %s", r.ID)
}

// Platform is the running stand-in of the platform.
type Platform struct {
	*Proc
	// Address is the address of the process itself, without a relay.
	Address string

	client *http.Client
}

// Put writes an object.
func (p *Platform) Put(ctx context.Context, kind api.Kind, name string, value any) error {
	return callJSON(ctx, p.client, http.MethodPut, p.url(kind, name), value, nil)
}

// Delete deletes an object.
func (p *Platform) Delete(ctx context.Context, kind api.Kind, name string) error {
	return callJSON(ctx, p.client, http.MethodDelete, p.url(kind, name), nil, nil)
}

// List returns the objects of a kind.
func (p *Platform) List(ctx context.Context, kind api.Kind) (platform.List, error) {
	var list platform.List
	err := callJSON(ctx, p.client, http.MethodGet, "http://"+p.Address+"/v1/objects/"+string(kind), nil, &list)
	return list, err
}

// SetFaults replaces the current faults.
func (p *Platform) SetFaults(ctx context.Context, faults platform.Faults) error {
	return callJSON(ctx, p.client, http.MethodPost, "http://"+p.Address+"/faults", faults, nil)
}

// Stats returns the calls counted since the start.
func (p *Platform) Stats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	err := callJSON(ctx, p.client, http.MethodGet, "http://"+p.Address+"/v1/stats", nil, &stats)
	return stats, err
}

// ClientStats returns the calls counted since the start by client token, which is
// the router's ID.
func (p *Platform) ClientStats(ctx context.Context) (map[string]platform.Stats, error) {
	var stats map[string]platform.Stats
	err := callJSON(ctx, p.client, http.MethodGet, "http://"+p.Address+"/stats/clients", nil, &stats)
	return stats, err
}

func (p *Platform) url(kind api.Kind, name string) string {
	return "http://" + p.Address + "/v1/objects/" + string(kind) + "/" + name
}

// callJSON makes a JSON call. Any status other than 2xx is an error.
func callJSON(ctx context.Context, client *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		content, err := json.Marshal(in)
		if err != nil {
			return errors.Wrapf(err, "%s %s", method, url)
		}
		body = bytes.NewReader(content)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	defer resp.Body.Close()
	payload, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	if resp.StatusCode/100 != 2 {
		return errors.Newf("%s %s: %s: %s", method, url, resp.Status, payload)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(payload, out), "%s %s", method, url)
}
