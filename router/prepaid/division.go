package prepaid

import "math"

// fractions divides a rate of tokens among the priorities and returns the fraction of each one's demand that it gets.
func (s *scarcity) fractions(rate float64) [scarcityPriorities]float64 {
	fractions := s.divideWithLeast(rate, 0)
	// The higher the least fraction, the lower the mean: bisect for the mean that the least fraction belongs to.
	low, high := 0.0, s.mean(fractions)
	for range meanSteps {
		mean := (low + high) / 2
		fractions = s.divideWithLeast(rate, minServedShare*mean)
		if s.mean(fractions) < mean {
			high = mean
		} else {
			low = mean
		}
	}
	return fractions
}

// meanSteps is how often the interval of the mean is halved: to a thousandth.
const meanSteps = 10

// divideWithLeast is divide with urgentFirst, where each priority gets at least a fraction of its demand.
func (s *scarcity) divideWithLeast(rate, fraction float64) [scarcityPriorities]float64 {
	var least [scarcityPriorities]float64
	for {
		fractions := s.urgentFirst(s.divide(rate, least), least)
		raised := false
		for i := range fractions {
			if least[i] == 0 && fractions[i] < fraction {
				least[i], raised = fraction, true
			}
		}
		if !raised {
			return fractions
		}
	}
}

// urgentFirst gives each priority that lacks tokens at least the fraction of the next less urgent one times
// priorityFactor, by pooling what they got. Without it a large need would leave the more urgent with the smaller
// fraction.
func (s *scarcity) urgentFirst(fractions, least [scarcityPriorities]float64) [scarcityPriorities]float64 {
	var groups []pool
	for i, need := range s.tokens {
		if need <= 0 || fractions[i] >= 1 || least[i] > 0 {
			continue
		}
		group := pool{tokens: fractions[i] * need, need: need * urgencyWeight(i), members: []int{i}}
		for n := len(groups); n > 0 && groups[n-1].level() < group.level(); n-- {
			group = group.join(groups[n-1])
			groups = groups[:n-1]
		}
		groups = append(groups, group)
	}
	for _, group := range groups {
		for _, i := range group.members {
			fractions[i] = min(group.level()*urgencyWeight(i), 1)
		}
	}
	return fractions
}

// pool is priorities that share tokens in proportion to their weighted needs.
type pool struct {
	tokens, need float64
	members      []int
}

func (p pool) level() float64 { return p.tokens / p.need }

func (p pool) join(q pool) pool {
	return pool{tokens: p.tokens + q.tokens, need: p.need + q.need, members: append(p.members, q.members...)}
}

func urgencyWeight(priority int) float64 { return math.Pow(priorityFactor, -float64(priority)) }

// mean is the fraction of all requests that is admitted.
func (s *scarcity) mean(fractions [scarcityPriorities]float64) float64 {
	admitted, all := 0.0, 0.0
	for i, rate := range s.requests {
		admitted += rate * fractions[i]
		all += rate
	}
	if all == 0 {
		return 1
	}
	return admitted / all
}

// divide divides a rate of tokens by weighted max-min fairness. Priorities with a least fraction get just that.
func (s *scarcity) divide(rate float64, least [scarcityPriorities]float64) (fractions [scarcityPriorities]float64) {
	open, weights := 0, 0.0
	var weight [scarcityPriorities]float64
	for i, need := range s.tokens {
		switch {
		case need <= 0:
			fractions[i] = 1
		case least[i] > 0:
			fractions[i] = least[i]
			rate -= need * fractions[i]
		default:
			weight[i] = urgencyWeight(i)
			weights += weight[i]
			open++
		}
	}
	for open > 0 && rate > 0 {
		satisfied := false
		level := rate / weights
		for i, need := range s.tokens {
			if weight[i] > 0 && need <= level*weight[i] {
				fractions[i], satisfied = 1, true
				rate, weights, open = rate-need, weights-weight[i], open-1
				weight[i] = 0
				break
			}
		}
		if satisfied {
			continue
		}
		for i, need := range s.tokens {
			if weight[i] > 0 {
				fractions[i] = level * weight[i] / need
			}
		}
		break
	}
	return fractions
}
