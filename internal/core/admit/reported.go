package admit

// ownReports is the number of reports after which a router's own load is certainly in the sums
// that it gets: a report waits at two hubs for up to an interval each.
const ownReports = 3

// reportedLoads are the loads from this router at a target in its last reports.
type reportedLoads struct {
	loads [ownReports]Load
	next  int
}

// record adds the load of a new report.
func (r *reportedLoads) record(l Load) {
	r.loads[r.next] = l
	r.next = (r.next + 1) % ownReports
}

// oldest returns the load in the oldest of the last reports. If the present load were
// subtracted from a sum instead, the requests that this router has sent within the age of the
// sum would be left out of the fleet's load.
func (r *reportedLoads) oldest() Load { return r.loads[r.next] }

// ownLoad returns the load from this router.
func (t *target) ownLoad() Load {
	return Load{Running: t.running, PendingTokens: t.pendingTokens, MemoryTokens: t.memoryTokens}
}
