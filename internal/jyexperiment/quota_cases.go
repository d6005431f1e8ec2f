package jyexperiment

import "time"

// surge returns factor for each of the ranks.
func surge(factor float64, ranks ...int) map[int]float64 {
	out := map[int]float64{}
	for _, rank := range ranks {
		out[rank] = factor
	}
	return out
}

// QuotaCases returns the cases for a fleet in three data centres.
func QuotaCases(instances int) []QuotaCase {
	base := QuotaCase{
		Instances: instances, DataCentres: 3, Accounts: 86, Rate: 719, Length: 30 * time.Second, Loss: 0.025,
		SurgeStart: 10 * time.Second, SurgeEnd: 18 * time.Second, PartStart: 10 * time.Second, PartEnd: 22 * time.Second,
	}
	with := func(name string, change func(*QuotaCase)) QuotaCase {
		c := base
		c.Name = name
		change(&c)
		return c
	}
	halves := func(i int) int { return i / 3 % 2 }
	return []QuotaCase{
		with("usual load", func(*QuotaCase) {}),
		with("rank 1 at 6 times its rate", func(c *QuotaCase) { c.Surges = surge(6, 1) }),
		with("rank 10 at 6 times its rate", func(c *QuotaCase) { c.Surges = surge(6, 10) }),
		with("rank 60 at 6 times its rate", func(c *QuotaCase) { c.Surges = surge(6, 60) }),
		with("four accounts at 7.5 times their rates", func(c *QuotaCase) { c.Surges = surge(7.5, 1, 2, 10, 40) }),
		with("callers that come back", func(c *QuotaCase) { c.Surges, c.Returns = surge(6, 1, 10, 60), true }),
		with("callers on two instances", func(c *QuotaCase) { c.Surges, c.OnInstances = surge(6, 2, 30), 2 }),
		with("half a request a second", func(c *QuotaCase) { c.EqualRates, c.Rate, c.Surges = true, 43, surge(6, 1, 10, 60) }),
		with("quota falls to a tenth", func(c *QuotaCase) { c.Surges, c.SurgeEnd, c.FallTo = surge(1, 1, 10), c.Length, 0.1 }),
		with("late readers", func(c *QuotaCase) { c.Surges, c.Late = surge(6, 1, 10), 1500*time.Millisecond }),
		with("two halves", func(c *QuotaCase) { c.Parts = halves }),
		with("two halves at a surge", func(c *QuotaCase) { c.Parts, c.Surges = halves, surge(6, 1, 10, 60) }),
		with("two data centres apart from one at a surge", func(c *QuotaCase) {
			c.Parts, c.Surges = func(i int) int { return i % 3 / 2 }, surge(6, 1, 10)
		}),
		with("three parts at a surge", func(c *QuotaCase) { c.Parts, c.Surges = func(i int) int { return i / 3 % 3 }, surge(6, 1, 10, 60) }),
		with("a third alone each at a surge", func(c *QuotaCase) {
			c.Parts, c.Surges = func(i int) int { return max(0, i-c.Instances*2/3) }, surge(6, 1, 10, 60)
		}),
		with("a tenth killed", func(c *QuotaCase) { c.Killed = func(i int) bool { return i%11 == 5 } }),
		with("all killed at a surge", func(c *QuotaCase) {
			c.Killed, c.Surges, c.SurgeStart = func(int) bool { return true }, surge(6, 1, 10, 60), 8*time.Second
			c.PartEnd = c.PartStart + time.Second
		}),
		with("half start newly at a surge", func(c *QuotaCase) {
			c.Killed, c.PartStart, c.PartEnd = func(i int) bool { return i%2 == 1 }, 0, 12*time.Second
			c.Joins, c.Surges = true, surge(6, 1, 10, 60)
		}),
	}
}
