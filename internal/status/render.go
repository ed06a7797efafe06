package status

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// hundredths is the factor by which numbers are rounded to two decimals.
const hundredths = 100

// maxRows bounds the number of workspaces that a table shows.
const maxRows = 40

// table writes aligned columns. It keeps the first write error and writes nothing
// after it.
type table struct {
	w   *tabwriter.Writer
	err error
}

func (t *table) row(cells ...string) {
	if t.err == nil {
		_, t.err = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
	}
}

// RenderFleet writes the status of the fleet as tables.
func RenderFleet(w io.Writer, fleet Fleet) error {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(fleetLine(fleet))
	sections := []func(*table, Fleet){
		renderRouters, renderUnresponsive, renderTargets, renderWorkspaces, renderQuarantine, renderConditions,
	}
	for _, section := range sections {
		section(t, fleet)
	}
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}

// RenderRouter writes the status of one router with its links as tables.
func RenderRouter(w io.Writer, r Router) error {
	if err := RenderFleet(w, Merge([]Response{{Instance: r.Instance, Router: &r}}, r.At)); err != nil {
		return err
	}
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	renderLinks(t, r)
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}

func fleetLine(f Fleet) string {
	inForce := "in force at all that answered"
	if !f.InForce {
		inForce = "not yet in force everywhere"
	}
	return fmt.Sprintf("%d routers answered, %d did not; configuration revision %d %s",
		len(f.Routers), len(f.Unresponsive), f.Revision, inForce)
}

func renderRouters(t *table, f Fleet) {
	t.row("")
	t.row("ROUTER", "DOMAIN", "STATE", "UP", "REVISION", "WATCHES", "LINKS", "WAITING", "RUNNING", "PLATFORM", "CONTROL B/S")
	for _, r := range f.Routers {
		t.row(r.Instance, r.Domain, routerState(r), duration(r.UptimeSeconds), strconv.FormatUint(r.Revision, 10),
			yesNo(r.Watcher), strconv.Itoa(len(r.Links)), strconv.Itoa(r.Waiting), strconv.Itoa(r.Running),
			upDown(r.Platform.Up), number(r.Control.SentPerSecond))
	}
}

func renderUnresponsive(t *table, f Fleet) {
	if len(f.Unresponsive) == 0 {
		return
	}
	t.row("")
	t.row("DID NOT ANSWER", "WHY")
	for _, s := range f.Unresponsive {
		t.row(s.Instance, s.Error)
	}
}

func renderTargets(t *table, f Fleet) {
	t.row("")
	t.row("TARGET", "DOMAIN", "STATE", "OWNER", "CONCURRENCY", "PERMITS", "IN FLIGHT")
	for _, x := range f.Targets {
		t.row(x.Target, x.Domain, targetState(x), dash(x.Owner), strconv.Itoa(x.Concurrency),
			strconv.Itoa(x.Permits), strconv.Itoa(x.InFlight))
	}
}

func renderWorkspaces(t *table, f Fleet) {
	t.row("")
	t.row("WORKSPACE", "POOL", "WEIGHT", "WAITING", "RUNNING", "OLDEST", "UNITS", "VIRTUAL SERVICE", "GAP")
	for i, w := range f.Workspaces {
		if i == maxRows {
			t.row(fmt.Sprintf("... and %d more", len(f.Workspaces)-maxRows))
			return
		}
		t.row(w.Workspace, dash(w.Pool), number(w.Weight), strconv.Itoa(w.Waiting), strconv.Itoa(w.Running),
			duration(w.OldestSeconds), number(w.Units), number(w.VirtualService), number(w.Gap))
	}
}

func renderQuarantine(t *table, f Fleet) {
	if len(f.Quarantine) == 0 {
		return
	}
	t.row("")
	t.row("REQUEST", "STATE", "CRASHES", "LEFT")
	for _, q := range f.Quarantine {
		t.row(q.Fingerprint, q.State, strconv.Itoa(q.Crashes), duration(q.LeftSeconds))
	}
}

func renderConditions(t *table, f Fleet) {
	if len(f.Conditions) == 0 {
		return
	}
	t.row("")
	t.row("DEGRADED", "SUBJECT", "AT", "WHY")
	for _, c := range f.Conditions {
		t.row(string(c.Type), dash(c.Subject), strings.Join(c.Routers, ","), c.Message)
	}
}

func renderLinks(t *table, r Router) {
	t.row("")
	t.row("LINK TO", "DOMAIN", "REVISION", "STATE", "WATCHES", "SINCE", "HEARD")
	for _, l := range r.Links {
		state := "live"
		if l.Draining {
			state = "draining"
		}
		t.row(l.Instance, l.Domain, strconv.FormatUint(l.Revision, 10), state, yesNo(l.Watcher),
			duration(l.FirstSeenAgeSeconds), duration(l.LastSeenAgeSeconds))
	}
}

func routerState(r Router) string {
	switch {
	case r.Draining:
		return "draining"
	case r.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func targetState(t FleetTarget) string {
	switch {
	case t.Draining:
		return "leaving"
	case len(t.EjectedBy) > 0:
		return "ejected by " + strings.Join(t.EjectedBy, ",")
	default:
		return "live"
	}
}

func upDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func number(v float64) string {
	return strconv.FormatFloat(math.Round(v*hundredths)/hundredths, 'f', -1, 64)
}

func duration(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d >= time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(time.Millisecond).String()
}
