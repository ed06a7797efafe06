package node

import (
	"github.com/sirupsen/logrus"
)

// evennessLogTicks is the number of ticks of the log of load between two lines about evenness,
// which each have one line for each service.
const evennessLogTicks = 5

// reportEvenness updates the metric of evenness and, at the ticks for it, logs it. Only hubs and
// the routers of a full mesh do, since the others know no more than their hub.
func (n *Node) reportEvenness(tick int) {
	all := n.scheduler.TakeEvenness()
	if n.isFollower() {
		return
	}
	for _, e := range all {
		n.scope.Tagged(map[string]string{"service": e.Service}).Gauge("busiest_target_ratio").Update(rounded(e.Ratio))
		if tick%evennessLogTicks == 0 && e.Ratio > 0 {
			n.logger.WithFields(logrus.Fields{
				"service": e.Service, "busiest_target": e.Busiest, "busiest_over_mean": rounded(e.Ratio),
				"mean_load_per_slot": rounded(e.MeanLoad), "targets": e.Targets,
			}).Info("evenness of targets")
		}
	}
}
