package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
)

const (
	demoModel   = "assistant"
	demoService = "orders"
	demoOrder   = `{"ice":"flake","tonnes":4}`
	demoKey     = "order-1"
	// demoStop bounds a router's planned stop while no requests run.
	demoStop = 15 * time.Second
)

// demo runs the steps of the demonstration and collects the failed checks.
type demo struct {
	out      io.Writer
	fleet    *harness.Fleet
	failures []string
}

// Demo starts a fleet with two failure domains, sends typical requests through it
// and stops it. It returns an error where a check failed.
func Demo(ctx context.Context, binaries harness.Binaries, out io.Writer) error {
	domain := func(name string) harness.Domain {
		return harness.Domain{
			Name:     name,
			Routers:  2,
			Engines:  []harness.Engine{{Models: []string{demoModel}, PromptTokensPerSecond: 1000}},
			Services: []harness.Service{{Name: demoService}},
		}
	}
	fleet, err := harness.Start(ctx, binaries, harness.Spec{
		Domains: []harness.Domain{domain("east"), domain("west")},
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &demo{out: out, fleet: fleet}
	for _, step := range []func(context.Context) error{
		d.contracts, d.completion, d.chat, d.order, d.refusals, d.status, d.stop,
	} {
		if err := step(ctx); err != nil {
			return errors.Wrapf(err, "demo\n%s", fleet.Logs())
		}
	}
	if len(d.failures) > 0 {
		return errors.Newf("demo: %s\n%s", strings.Join(d.failures, "; "), fleet.Logs())
	}
	d.printf("all checks passed")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// check records a failed check.
func (d *demo) check(ok bool, format string, args ...any) {
	if !ok {
		d.failures = append(d.failures, fmt.Sprintf(format, args...))
	}
}

func (d *demo) contracts(ctx context.Context) error {
	for workspace, weight := range map[string]float64{"harbour": 2, "plant": 1} {
		contract := harness.Contract(workspace, weight)
		contract.Routes = []api.Route{{
			Service: demoService, Methods: []string{http.MethodPost}, Class: api.ClassOnceOnly,
		}}
		d.printf("umberhill contract apply --wait: %s, weight %g", workspace, weight)
		if err := d.fleet.ApplyContract(ctx, contract); err != nil {
			return err
		}
	}
	return nil
}

// complete sends a model request and compares the response with the expected one.
func (d *demo) complete(ctx context.Context, router int, workspace string, req harness.CompletionRequest) {
	caller := d.fleet.Routers[router].Caller(workspace)
	defer caller.Close()
	resp := caller.Complete(ctx, req)
	verdict := harness.CheckResponse(req, resp)
	d.printf("%s: %s at %s: %d, %d events, %s: %s", workspace, req.Prompt, caller.Address,
		resp.Status, resp.Events, verdict, resp.Text)
	d.check(verdict == harness.VerdictCorrect, "verdict on the response is %s: status %d, body %s, error %v", verdict, resp.Status, resp.Body, resp.Err)
	d.check(resp.RequestID() != "", "response has no request ID")
	d.check(resp.Usage != nil, "response has no usage")
}

func (d *demo) completion(ctx context.Context) error {
	d.complete(ctx, 0, "plant", harness.CompletionRequest{
		Model: demoModel, Prompt: "Summarise the delivery log", MaxTokens: 12, Stream: true,
	})
	return nil
}

func (d *demo) chat(ctx context.Context) error {
	d.complete(ctx, 3, "harbour", harness.CompletionRequest{
		Model: demoModel, Prompt: "Is there ice in stock?", MaxTokens: 6, Chat: true,
	})
	return nil
}

// order sends a once-only order and repeats it through another router.
func (d *demo) order(ctx context.Context) error {
	first := d.send(ctx, 1)
	repeat := d.send(ctx, 2)
	d.check(first.Status == http.StatusOK, "order not answered with status 200: status %d, body %s, error %v", first.Status, first.Body, first.Err)
	d.check(repeat.Status == first.Status && string(repeat.Body) == string(first.Body),
		"response to the repeated order differs from the first: status %d, body %s, error %v", repeat.Status, repeat.Body, repeat.Err)
	runCount := 0
	for _, service := range d.fleet.Services {
		runs, err := service.Runs()
		if err != nil {
			return err
		}
		runCount += len(runs)
	}
	d.printf("runs of the order: %d", runCount)
	d.check(runCount == 1, "order ran %d times, want 1", runCount)
	return nil
}

func (d *demo) send(ctx context.Context, router int) harness.Response {
	caller := d.fleet.Routers[router].Caller("harbour")
	defer caller.Close()
	resp := caller.Call(ctx, http.MethodPost, demoService, "/orders", demoKey, []byte(demoOrder))
	d.printf("harbour: order %s at %s: %d: %s", demoKey, caller.Address, resp.Status,
		strings.TrimSpace(string(resp.Body)))
	return resp
}

// refusals checks that requests which cannot be served are refused with the
// outcome not-run.
func (d *demo) refusals(ctx context.Context) error {
	router := d.fleet.Routers[0]
	req := harness.CompletionRequest{Model: demoModel, Prompt: "p", Header: http.Header{"Authorization": {"Bearer wrong"}}}
	d.expectRefusal(ctx, router.Caller(""), req, http.StatusUnauthorized)
	req = harness.CompletionRequest{Model: "none", Prompt: "p"}
	d.expectRefusal(ctx, router.Caller("plant"), req, http.StatusNotFound)
	return nil
}

func (d *demo) expectRefusal(ctx context.Context, caller *harness.Caller, req harness.CompletionRequest, status int) {
	defer caller.Close()
	resp := caller.Complete(ctx, req)
	d.printf("refusal: %d %s %s", resp.Status, resp.Outcome(), strings.TrimSpace(string(resp.Body)))
	d.check(resp.Status == status && resp.Refusal != nil && resp.Outcome() == "not-run",
		"refusal: want status %d and outcome not-run, got status %d, outcome %s, body %s", status, resp.Status, resp.Outcome(), resp.Body)
}

func (d *demo) status(ctx context.Context) error {
	out, err := d.fleet.CLI(ctx, d.fleet.Routers[0], "status")
	if err != nil {
		return err
	}
	d.printf("umberhill status:\n%s", out)
	for _, r := range d.fleet.Routers {
		d.check(strings.Contains(out, r.ID), "status output does not list router %s", r.ID)
	}
	return nil
}

// stop performs a planned stop of all routers.
func (d *demo) stop(context.Context) error {
	for _, r := range d.fleet.Routers {
		r.Terminate()
	}
	for _, r := range d.fleet.Routers {
		code, err := r.Wait(demoStop)
		if err != nil {
			return err
		}
		d.check(code == 0, "router %s exited with code %d, want 0", r.ID, code)
	}
	d.printf("stopped")
	return nil
}
