// Package likelihood compares how often an event occurs with how often it is expected to:
// failures, or slow responses, of a version on trial. It has no state and does no I/O.
package likelihood

import "math"

const (
	// maxExactTrials is the number of trials up to which binomial probabilities are
	// summed exactly.
	maxExactTrials = 1000
	// maxDeviations replaces the significance level for more than maxExactTrials
	// trials: it is the number of standard deviations above the expected number
	// from which chance is ruled out.
	maxDeviations = 5.0
)

// Ratio returns the logarithm of how much likelier the failures are for a faulty version
// than at the expected rate. The failure rate of a faulty version has a Beta(2, 1) prior,
// under which higher rates are likelier. The ratio is a test martingale: at the expected
// rate, the probability that it ever reaches n is at most 1/n.
func Ratio(failures, responses int64, expected float64) float64 {
	f, n := float64(failures), float64(responses)
	if expected >= 1 || f <= n*expected {
		return 0
	}
	ofFailures, _ := math.Lgamma(f + 2)
	ofRest, _ := math.Lgamma(n - f + 1)
	ofAll, _ := math.Lgamma(n + 3)
	return math.Ln2 + ofFailures + ofRest - ofAll - f*math.Log(expected) - (n-f)*math.Log1p(-expected)
}

// IsUnlikely reports whether it is less probable than bound that count or more
// events occur in all trials, if an event has the given chance in each trial.
// For more than maxExactTrials trials it compares with maxDeviations instead of
// bound.
func IsUnlikely(count, all int64, chance, bound float64) bool {
	n := float64(all)
	if chance >= 1 || float64(count) <= n*chance {
		return false
	}
	if all > maxExactTrials {
		return float64(count)-n*chance > maxDeviations*math.Sqrt(n*chance*(1-chance))
	}
	total, _ := math.Lgamma(n + 1)
	var sum float64
	for i := count; i <= all; i++ {
		part, _ := math.Lgamma(float64(i) + 1)
		rest, _ := math.Lgamma(n - float64(i) + 1)
		sum += math.Exp(total - part - rest + float64(i)*math.Log(chance) + (n-float64(i))*math.Log1p(-chance))
	}
	return sum < bound
}
