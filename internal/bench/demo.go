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
	// demoStop bounds a router's planned stop without running requests.
	demoStop = 15 * time.Second
)

// demo shows the main job of a small fleet and collects what differs from what
// it should be.
type demo struct {
	out         io.Writer
	fleet       *harness.Fleet
	differences []string
}

// Demo starts a fleet with two failure domains, shows its main job and stops
// it. It fails where anything differs from what it should be.
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
	if len(d.differences) > 0 {
		return errors.Newf("demo: %s\n%s", strings.Join(d.differences, "; "), fleet.Logs())
	}
	d.printf("everything is as it should be")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// check notes a difference.
func (d *demo) check(ok bool, format string, args ...any) {
	if !ok {
		d.differences = append(d.differences, fmt.Sprintf(format, args...))
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

// model makes a model request and compares the answer with the right one.
func (d *demo) complete(ctx context.Context, router int, workspace string, ask harness.CompletionRequest) {
	caller := d.fleet.Routers[router].Caller(workspace)
	defer caller.Close()
	answer := caller.Complete(ctx, ask)
	verdict := harness.CheckResponse(ask, answer)
	d.printf("%s: %s at %s: %d, %d events, %s: %s", workspace, ask.Prompt, caller.Address,
		answer.Status, answer.Events, verdict, answer.Text)
	d.check(verdict == harness.VerdictCorrect, "the answer is %s: %d %s %v", verdict, answer.Status, answer.Body, answer.Err)
	d.check(answer.RequestID() != "", "the answer has no request id")
	d.check(answer.Usage != nil, "the answer has no usage")
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

// order sends a once-only order and its repeat through another router.
func (d *demo) order(ctx context.Context) error {
	first := d.send(ctx, 1)
	repeat := d.send(ctx, 2)
	d.check(first.Status == http.StatusOK, "the order: %d %s %v", first.Status, first.Body, first.Err)
	d.check(repeat.Status == first.Status && string(repeat.Body) == string(first.Body),
		"the repeat's answer differs: %d %s %v", repeat.Status, repeat.Body, repeat.Err)
	ran := 0
	for _, service := range d.fleet.Services {
		runs, err := service.Runs()
		if err != nil {
			return err
		}
		ran += len(runs)
	}
	d.printf("runs of the order: %d", ran)
	d.check(ran == 1, "the order ran %d times", ran)
	return nil
}

func (d *demo) send(ctx context.Context, router int) harness.Response {
	caller := d.fleet.Routers[router].Caller("harbour")
	defer caller.Close()
	answer := caller.Call(ctx, http.MethodPost, demoService, "/orders", demoKey, []byte(demoOrder))
	d.printf("harbour: order %s at %s: %d: %s", demoKey, caller.Address, answer.Status,
		strings.TrimSpace(string(answer.Body)))
	return answer
}

// refusals shows that what can't be served is refused and didn't run.
func (d *demo) refusals(ctx context.Context) error {
	router := d.fleet.Routers[0]
	ask := harness.CompletionRequest{Model: demoModel, Prompt: "p", Header: http.Header{"Authorization": {"Bearer wrong"}}}
	d.expectRefusal(ctx, router.Caller(""), ask, http.StatusUnauthorized)
	ask = harness.CompletionRequest{Model: "none", Prompt: "p"}
	d.expectRefusal(ctx, router.Caller("plant"), ask, http.StatusNotFound)
	return nil
}

func (d *demo) expectRefusal(ctx context.Context, caller *harness.Caller, ask harness.CompletionRequest, status int) {
	defer caller.Close()
	answer := caller.Complete(ctx, ask)
	d.printf("refusal: %d %s %s", answer.Status, answer.Outcome(), strings.TrimSpace(string(answer.Body)))
	d.check(answer.Status == status && answer.Refusal != nil && answer.Outcome() == "not-run",
		"the refusal should be %d and not-run: %d %s %s", status, answer.Status, answer.Outcome(), answer.Body)
}

func (d *demo) status(ctx context.Context) error {
	out, err := d.fleet.CLI(ctx, d.fleet.Routers[0], "status")
	if err != nil {
		return err
	}
	d.printf("umberhill status:\n%s", out)
	for _, r := range d.fleet.Routers {
		d.check(strings.Contains(out, r.ID), "the status lacks %s", r.ID)
	}
	return nil
}

// stop stops the routers as planned.
func (d *demo) stop(context.Context) error {
	for _, r := range d.fleet.Routers {
		r.Terminate()
	}
	for _, r := range d.fleet.Routers {
		code, err := r.Wait(demoStop)
		if err != nil {
			return err
		}
		d.check(code == 0, "%s ended with code %d", r.ID, code)
	}
	d.printf("stopped")
	return nil
}
