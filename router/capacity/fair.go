package capacity

import (
	"maps"
	"slices"
)

// fairLevel returns the largest amount that each demand may get at most so that all get no more than capacity
// together: the max-min fair share. Demands below it are met in full, and what they leave goes to the others. If all
// fit it is the largest demand.
func fairLevel(demands map[string]float64, capacity float64) float64 {
	sorted := slices.Sorted(maps.Values(demands))
	for i, demand := range sorted {
		if share := max(capacity, 0) / float64(len(sorted)-i); demand > share {
			return share
		}
		capacity -= demand
	}
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}
