package pressure

const (
	// linkTargetUse is the use of the bandwidth that the refused share aims at. Packets queue
	// for a multiple of their transmission time above nine tenths, and a request to a target
	// then takes longer than callers wait.
	linkTargetUse = 0.8
	// receivingFullUse and receivingFreeUse are the uses by what arrives above which the link
	// counts as full and below which it no longer does.
	receivingFullUse = 0.85
	receivingFreeUse = 0.7
	// linkUseWeight is the weight of one observation in the smoothed use: at an observation
	// each 50 ms about the last quarter of a second counts, in which a single large body
	// does not fill a link.
	linkUseWeight = 0.2
	// linkDecrease and linkIncrease bound the relative change of the accepted share with each
	// observation. It takes several observations until a change shows in the use, since
	// accepted requests are sent later and socket buffers take some of them. A link that is
	// less than half as busy as wanted is far from full, so that the share may grow faster.
	linkDecrease     = 0.96
	linkIncrease     = 1.02
	linkFastIncrease = 1.06
	// maxLinkShare is the largest refused share. The use of the link shows the end of an
	// overload also if next to no requests are accepted.
	maxLinkShare = 0.99
)

// LinkController computes the share of requests to refuse from the use of the instance's
// network link. The zero value refuses nothing.
//
// It handles the load in which callers send one instance more than its link forwards.
// Requests then wait in the link's queue beyond their callers' deadlines, connections to
// targets time out, and sound targets look unreachable.
type LinkController struct {
	sent, received, share float64
	isReceivingFull       bool
}

// Observe adds the fractions of the bandwidth that are in use and returns the share of the
// requests to refuse, from 0 to 1. A refused request is not sent to a target, so that
// refusals free the link toward targets. A use above 1 stands for bytes that the socket
// buffers took.
func (c *LinkController) Observe(sent, received float64) float64 {
	c.sent += linkUseWeight * (min(sent, 1) - c.sent)
	c.received += linkUseWeight * (min(received, 1) - c.received)
	switch {
	case c.received > receivingFullUse:
		c.isReceivingFull = true
	case c.received < receivingFreeUse:
		c.isReceivingFull = false
	}
	change := linkFastIncrease
	if c.sent > linkTargetUse/2 {
		change = min(max(linkTargetUse/c.sent, linkDecrease), linkIncrease)
	}
	c.share = min(max(1-(1-c.share)*change, 0), maxLinkShare)
	return c.share
}

// IsReceivingFull reports whether what arrives fills the link. Refusals don't change that,
// since a request has arrived when it is refused: only fewer connections do.
func (c *LinkController) IsReceivingFull() bool { return c.isReceivingFull }
