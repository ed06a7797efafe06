package admit

// throttle bounds the requests that a router of a large fleet sends to a service of plain
// targets. Their requests are shorter than the age of the reports, so the reported load of a
// target says little of its load now: routers that wait for room by it all send together
// once a report shows room, and all stop together when one shows none. Each router therefore
// sends a share of its requests, which follows the occupancy of all targets together.
type throttle struct {
	// lasting is the share that the occupancies of the last reports call for, and share the
	// fraction of the requests that are sent, which also follows the last occupancy.
	lasting, share float64
	// credit is the number of requests that may be sent; each request adds the share to it.
	credit float64
}

// For the values see docs/design/EVEN-LOAD.md.
const (
	// throttleOccupancy is the number of requests for each slot, running and queued, above
	// which the share falls.
	throttleOccupancy = 1.25
	// throttleStep is the largest relative change of the lasting share with each report.
	// Several reports pass until a change shows in them.
	throttleStep = 0.05
	// throttleGain is the change of the share for an occupancy of twice throttleOccupancy.
	// Without it the share goes on to fall while the targets' queues become shorter already,
	// until they are idle.
	throttleGain = 0.3
	// minThrottleShare is the least share, so that the end of an overload is seen.
	minThrottleShare = 0.05
	// throttleIdleShare is the lasting share above which no requests are refused: short peaks
	// of the occupancy alone do not make the share fall below it.
	throttleIdleShare = 0.9
	// maxThrottleCredit bounds the requests that may be sent in a burst.
	maxThrottleCredit = 2
)

func newThrottle() throttle { return throttle{lasting: 1, share: 1} }

// observe adapts the share to the number of requests at all targets and their slots.
func (th *throttle) observe(requests, slots int) {
	excess := min(1, float64(requests)/float64(max(1, slots))/throttleOccupancy-1)
	th.lasting = min(max(th.lasting*(1-throttleStep*excess), minThrottleShare), 1)
	th.share = min(max(th.lasting*(1-throttleGain*excess), minThrottleShare), 1)
	if th.lasting > throttleIdleShare {
		th.share = 1
	}
}

// recordArrival adds the credit of one request.
func (th *throttle) recordArrival() { th.credit = min(th.credit+th.share, maxThrottleCredit) }

// hasCredit reports whether a request may be sent.
func (th *throttle) hasCredit() bool { return th.share == 1 || th.credit >= 1 }

// recordSent removes the credit of a request that is sent.
func (th *throttle) recordSent() { th.credit = max(0, th.credit-1) }
