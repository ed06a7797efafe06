package bench

import (
	"context"
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/harness"
)

const (
	// Bounds of the control plane's cost for one router.
	controlBytesPerSecond = 2000
	controlCorePercent    = 1.1

	// metricsLag is the delay with which a router's metrics show an event. The
	// writing of contracts before a measurement may show for this long after it has
	// ended.
	metricsLag = 3 * time.Second

	// clockTick is the unit of the CPU times in /proc.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the field indexes of the CPU times in
	// /proc/PID/stat, counted from the field after the command's name.
	userField   = 11
	systemField = 12
)

// wireBytes matches the counters of all bytes on the links between routers, by
// direction.
var wireBytes = regexp.MustCompile(`(?m)^[a-z_]*peer_wire_bytes(?:_total)?(?:\{[^}]*\})? ([0-9.e+]+)$`)

// kindBytes matches the counters of the message bytes on the links, by direction
// and kind.
var kindBytes = regexp.MustCompile(`(?m)^[a-z_]*peer_bytes(?:_total)?\{[^}]*kind="([a-z]+)"[^}]*\} ([0-9.e+]+)$`)

// routerCost is the number of link bytes and the CPU time that a router has used
// since its start.
type routerCost struct {
	at    time.Time
	bytes float64
	// kinds are the bytes by kind of message.
	kinds map[string]float64
	cpu   time.Duration
}

func readCost(ctx context.Context, r *harness.Router) (routerCost, error) {
	text, err := r.Metrics(ctx)
	if err != nil {
		return routerCost{}, err
	}
	cost := routerCost{at: time.Now()}
	found := wireBytes.FindAllStringSubmatch(text, -1)
	if found == nil {
		return cost, errors.Newf("metrics of router %s have no byte counters of the peer links", r.ID)
	}
	for _, match := range found {
		bytes, err := strconv.ParseFloat(match[1], 64)
		if err != nil {
			return cost, errors.Wrapf(err, "metrics of router %s", r.ID)
		}
		cost.bytes += bytes
	}
	cost.kinds = map[string]float64{}
	for _, match := range kindBytes.FindAllStringSubmatch(text, -1) {
		bytes, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			return cost, errors.Wrapf(err, "metrics of router %s", r.ID)
		}
		cost.kinds[match[1]] += bytes
	}
	cost.cpu, err = processCPU(r.PID())
	return cost, err
}

// processCPU returns the CPU time of a process in user and system mode.
func processCPU(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := 0
	for _, i := range []int{userField, systemField} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, errors.Wrap(err, "read CPU time")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// fleetCosts are the costs of all routers of a fleet, in the fleet's order.
type fleetCosts []routerCost

// settledCosts waits until the metrics include all earlier events and then reads
// the costs.
func settledCosts(ctx context.Context, fleet *harness.Fleet) (fleetCosts, error) {
	pause(ctx, metricsLag)
	return readCosts(ctx, fleet)
}

func readCosts(ctx context.Context, fleet *harness.Fleet) (fleetCosts, error) {
	all := make(fleetCosts, len(fleet.Routers))
	for i, r := range fleet.Routers {
		var err error
		if all[i], err = readCost(ctx, r); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// maxBytesPerSecond returns the largest rate of link bytes of any router between
// two samples, sent and received together.
func (c fleetCosts) maxBytesPerSecond(earlier fleetCosts) float64 {
	largest := 0.0
	for i := range c {
		largest = max(largest, (c[i].bytes-earlier[i].bytes)/c[i].at.Sub(earlier[i].at).Seconds())
	}
	return largest
}

// maxKindBytesPerSecond returns the largest rate of message bytes of one kind of
// any router.
func (c fleetCosts) maxKindBytesPerSecond(earlier fleetCosts, kind string) float64 {
	largest := 0.0
	for i := range c {
		largest = max(largest, (c[i].kinds[kind]-earlier[i].kinds[kind])/c[i].at.Sub(earlier[i].at).Seconds())
	}
	return largest
}

// kinds returns the kinds of message that any router has counted.
func (c fleetCosts) kinds() []string {
	seen := map[string]float64{}
	for _, cost := range c {
		maps.Copy(seen, cost.kinds)
	}
	return slices.Sorted(maps.Keys(seen))
}

// maxCorePercent returns the largest share of a core that any router used, in
// percent.
func (c fleetCosts) maxCorePercent(earlier fleetCosts) float64 {
	largest := 0.0
	for i := range c {
		share := float64(c[i].cpu-earlier[i].cpu) / float64(c[i].at.Sub(earlier[i].at))
		largest = max(largest, 100*share)
	}
	return largest
}
