package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyreturn"
)

// ReturnAfter returns after how long the caller of the refused request should come back, or 0 if that would not help.
func (v *Service) ReturnAfter(now time.Time, r jyreturn.Refused) time.Duration {
	return v.overload.returnAfter(now, r, v.roomNow(now))
}

// roomNow returns the capacity of the servers that take requests and are not likely to fail them.
func (v *Service) roomNow(now time.Time) jyreturn.Capacity {
	out := jyreturn.Capacity{ServiceTime: v.ServiceTime(), Instances: v.countInstances()}
	for _, s := range v.Servers {
		if !s.isAvailable(now) || s.health.grayChance(now) >= likelyGrayChance {
			continue
		}
		out.Slots += s.Info.Slots
		out.Free += max(0, s.Info.Slots-s.load(now))
	}
	return out
}
