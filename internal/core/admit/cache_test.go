package admit

import (
	"testing"
	"time"
)

// Guards against routers whose memory grows with all parts that the fleet has ever used at any
// of hundreds of engines: parts that are no longer assumed to be cached were kept.
func TestExpiredPartsAreForgotten(t *testing.T) {
	const (
		perSecond = 50
		seconds   = 120
	)
	var c prefixCache
	now := time.Unix(1000, 0)
	for i := range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		c.recordUse(now, now, uint64(i))
	}
	if most := 2*perSecond*int(cacheTTL.Seconds()) + minEvictParts; len(c.parts) > most {
		t.Errorf("%d parts tracked, want at most %d: %d were used within the time that they count", len(c.parts), most, perSecond*int(cacheTTL.Seconds()))
	}
	if !c.holds(now, perSecond*seconds-1) || !c.holds(now, perSecond*seconds-perSecond) {
		t.Error("a part that was used within the last second is forgotten")
	}
}
