package placement

import "slices"

// fewest returns a smallest set of at most limit candidates that together cover
// lack. The search is exhaustive as far as the bound on trials allows, then
// greedy. Candidates are sorted, the smallest first.
func fewest(candidates []victim, lack vec, limit int) ([]victim, bool) {
	if !coverable(candidates, lack) {
		return nil, false
	}
	trials := 1
	for k := 1; k <= min(limit, len(candidates)); k++ {
		trials = trials * (len(candidates) - k + 1) / k
		if trials > exhaustiveTrials {
			chosen := greedy(candidates, lack)
			return chosen, len(chosen) <= limit
		}
		if chosen := combination(candidates, k, lack); chosen != nil {
			return chosen, true
		}
	}
	return nil, false
}

// coverable reports whether all candidates together cover lack.
func coverable(candidates []victim, lack vec) bool {
	for _, v := range candidates {
		lack = subVec(lack, v.size)
	}
	return covered(lack)
}

// combination returns the first k candidates in order that cover lack.
func combination(candidates []victim, k int, lack vec) []victim {
	if k == 0 {
		if covered(lack) {
			return []victim{}
		}
		return nil
	}
	for i := 0; i+k <= len(candidates); i++ {
		rest := combination(candidates[i+1:], k-1, subVec(lack, candidates[i].size))
		if rest != nil {
			return append(rest, candidates[i])
		}
	}
	return nil
}

// greedy takes the candidate that covers most of what is still lacking until
// nothing is, then drops those that turned out to be unnecessary. All
// candidates together must cover lack.
func greedy(candidates []victim, lack vec) []victim {
	left, rest := slices.Clone(candidates), lack
	var chosen []victim
	for !covered(rest) {
		best, bestGain := 0, 0.0
		for i := range left {
			if g := gain(left[i].size, rest); g > bestGain {
				best, bestGain = i, g
			}
		}
		chosen, rest = append(chosen, left[best]), subVec(rest, left[best].size)
		left = slices.Delete(left, best, best+1)
	}
	return dropUnnecessary(chosen, rest)
}

// dropUnnecessary removes victims whose size is not needed; rest is the
// (negative) surplus after all of them. Greedy choices are most useful first,
// so that the first ones are the largest.
func dropUnnecessary(chosen []victim, rest vec) []victim {
	for i := 0; i < len(chosen); {
		without := addVec(rest, chosen[i].size)
		if !covered(without) {
			i++
			continue
		}
		rest, chosen = without, slices.Delete(chosen, i, i+1)
	}
	return chosen
}

// gain is the sum over dimensions of the part of lack that size covers.
func gain(size, lack vec) float64 {
	sum := 0.0
	for d := range lack {
		if lack[d] > 0 {
			sum += float64(min(size[d], lack[d])) / float64(lack[d])
		}
	}
	return sum
}

func covered(lack vec) bool {
	for _, l := range lack {
		if l > 0 {
			return false
		}
	}
	return true
}
