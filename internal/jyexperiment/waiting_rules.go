package jyexperiment

// waitingRules says which parts a policy has.
type waitingRules struct {
	placesByLoss   bool // instead of the least busy server
	plansReturns   bool
	tellsUnwilling bool
	rationsRetries bool
	limitsDepth    bool
	sharesAccounts bool
	waits          bool
	byPriorityOnly bool
}

func rulesOf(p WaitingPolicy) waitingRules {
	var r waitingRules
	switch p {
	case WaitingByPriority:
		r.byPriorityOnly = true
	case WaitingOneSecond:
		r.placesByLoss = true
	case WaitingReturns:
		r.placesByLoss, r.plansReturns = true, true
	case WaitingUnwilling:
		r.placesByLoss, r.plansReturns, r.tellsUnwilling, r.rationsRetries = true, true, true, true
	case WaitingDepth:
		r = rulesOf(WaitingUnwilling)
		r.limitsDepth = true
	case WaitingShares:
		r = rulesOf(WaitingDepth)
		r.sharesAccounts = true
	case WaitingQueue:
		r = rulesOf(WaitingDepth)
		r.waits = true
	}
	return r
}
