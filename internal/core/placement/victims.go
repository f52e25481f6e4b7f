package placement

import "slices"

// fewest returns a smallest set of at most limit candidates that together cover
// lack. The search is exhaustive as far as the bound on trials allows, then
// greedy. Candidates are sorted, the smallest first.
func smallestVictimSet(candidates []victim, shortfall vec, limit int) ([]victim, bool) {
	if !canCover(candidates, shortfall) {
		return nil, false
	}
	sets := 1
	for k := 1; k <= min(limit, len(candidates)); k++ {
		sets = sets * (len(candidates) - k + 1) / k
		if sets > maxExhaustiveSets {
			chosen := greedyVictims(candidates, shortfall)
			return chosen, len(chosen) <= limit
		}
		if chosen := combination(candidates, k, shortfall); chosen != nil {
			return chosen, true
		}
	}
	return nil, false
}

// coverable reports whether all candidates together cover lack.
func canCover(candidates []victim, shortfall vec) bool {
	for _, v := range candidates {
		shortfall = subVec(shortfall, v.size)
	}
	return isCovered(shortfall)
}

// combination returns the first k candidates in order that cover lack.
func combination(candidates []victim, k int, shortfall vec) []victim {
	if k == 0 {
		if isCovered(shortfall) {
			return []victim{}
		}
		return nil
	}
	for i := 0; i+k <= len(candidates); i++ {
		others := combination(candidates[i+1:], k-1, subVec(shortfall, candidates[i].size))
		if others != nil {
			return append(others, candidates[i])
		}
	}
	return nil
}

// greedy takes the candidate that covers most of what is still lacking until
// nothing is, then drops those that turned out to be unnecessary. All
// candidates together must cover lack.
func greedyVictims(candidates []victim, shortfall vec) []victim {
	unused, remaining := slices.Clone(candidates), shortfall
	var chosen []victim
	for !isCovered(remaining) {
		best, bestGain := 0, 0.0
		for i := range unused {
			if g := coverage(unused[i].size, remaining); g > bestGain {
				best, bestGain = i, g
			}
		}
		chosen, remaining = append(chosen, unused[best]), subVec(remaining, unused[best].size)
		unused = slices.Delete(unused, best, best+1)
	}
	return dropRedundant(chosen, remaining)
}

// dropUnnecessary removes victims whose size is not needed; rest is the
// (negative) surplus after all of them. Greedy choices are most useful first,
// so that the first ones are the largest.
func dropRedundant(chosen []victim, remaining vec) []victim {
	for i := 0; i < len(chosen); {
		without := addVec(remaining, chosen[i].size)
		if !isCovered(without) {
			i++
			continue
		}
		remaining, chosen = without, slices.Delete(chosen, i, i+1)
	}
	return chosen
}

// gain is the sum over dimensions of the part of lack that size covers.
func coverage(size, shortfall vec) float64 {
	sum := 0.0
	for d := range shortfall {
		if shortfall[d] > 0 {
			sum += float64(min(size[d], shortfall[d])) / float64(shortfall[d])
		}
	}
	return sum
}

func isCovered(shortfall vec) bool {
	for _, amount := range shortfall {
		if amount > 0 {
			return false
		}
	}
	return true
}
