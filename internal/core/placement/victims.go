package placement

import "slices"

// smallestVictimSet returns a set of at most limit candidates that together cover
// shortfall, and false when there is none. The set has the fewest candidates
// possible as long as the search stays within maxExhaustiveSets; beyond that the
// choice is greedy. Candidates must be sorted, the smallest first.
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

// canCover reports whether all candidates together cover shortfall.
func canCover(candidates []victim, shortfall vec) bool {
	for _, v := range candidates {
		shortfall = subVec(shortfall, v.size)
	}
	return isCovered(shortfall)
}

// combination returns the first combination of k candidates, in their order, that
// covers shortfall, or nil when there is none.
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

// greedyVictims repeatedly takes the candidate that covers most of the remaining
// shortfall until it is covered, then drops the redundant ones. All candidates
// together must cover shortfall.
func greedyVictims(candidates []victim, shortfall vec) []victim {
	unused, remaining := slices.Clone(candidates), shortfall
	var chosen []victim
	for !isCovered(remaining) {
		best, bestCoverage := 0, 0.0
		for i := range unused {
			if covered := coverage(unused[i].size, remaining); covered > bestCoverage {
				best, bestCoverage = i, covered
			}
		}
		chosen, remaining = append(chosen, unused[best]), subVec(remaining, unused[best].size)
		unused = slices.Delete(unused, best, best+1)
	}
	return dropRedundant(chosen, remaining)
}

// dropRedundant removes victims that the others make unnecessary. remaining is the
// shortfall that is left after all of them, with a surplus as a negative value. The
// largest victims are tried first, because greedy choices come in that order.
func dropRedundant(chosen []victim, remaining vec) []victim {
	for i := 0; i < len(chosen); {
		shortfall := addVec(remaining, chosen[i].size)
		if !isCovered(shortfall) {
			i++
			continue
		}
		remaining, chosen = shortfall, slices.Delete(chosen, i, i+1)
	}
	return chosen
}

// coverage returns the sum over all dimensions of the fraction of shortfall that
// size covers.
func coverage(size, shortfall vec) float64 {
	sum := 0.0
	for d := range shortfall {
		if shortfall[d] > 0 {
			sum += float64(min(size[d], shortfall[d])) / float64(shortfall[d])
		}
	}
	return sum
}

// isCovered reports whether no dimension of shortfall is positive.
func isCovered(shortfall vec) bool {
	for _, amount := range shortfall {
		if amount > 0 {
			return false
		}
	}
	return true
}
