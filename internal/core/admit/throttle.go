package admit

// throttle bounds the requests that a router of a large fleet sends to a service of plain
// targets. Their requests are shorter than the age of the reports, so the reported load of a
// target says little of its load now: routers that wait for room by it all send together
// once a report shows room, and all stop together when one shows none. Each router therefore
// sends a share of its requests, which follows the occupancy of all targets together, and
// spreads them over the targets at random.
type throttle struct {
	// share is the fraction of the requests that are sent.
	share float64
	// credit is the number of requests that may be sent; each request adds the share to it.
	credit float64
}

const (
	// throttleOccupancy is the number of requests for each slot, running and queued, above
	// which the share falls.
	throttleOccupancy = 1.5
	// throttleDecrease and throttleIncrease are the largest relative changes of the share
	// with each report. Several reports pass until a change shows in them.
	throttleDecrease = 0.1
	throttleIncrease = 0.05
	// minThrottleShare is the least share, so that the end of an overload is seen.
	minThrottleShare = 0.05
	// maxThrottleCredit bounds the requests that may be sent in a burst.
	maxThrottleCredit = 2
)

// observe adapts the share to the number of requests at all targets and their slots.
func (th *throttle) observe(requests, slots int) {
	excess := float64(requests)/float64(max(1, slots))/throttleOccupancy - 1
	if excess > 0 {
		th.share *= 1 - throttleDecrease*min(1, excess)
	} else {
		th.share *= 1 - throttleIncrease*excess
	}
	th.share = min(max(th.share, minThrottleShare), 1)
}

// recordArrival adds the credit of one request.
func (th *throttle) recordArrival() { th.credit = min(th.credit+th.share, maxThrottleCredit) }

// hasCredit reports whether a request may be sent.
func (th *throttle) hasCredit() bool { return th.share == 1 || th.credit >= 1 }

// recordSent removes the credit of a request that is sent.
func (th *throttle) recordSent() { th.credit = max(0, th.credit-1) }
