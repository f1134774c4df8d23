package fuzz

import (
	"math"
	"math/rand/v2"

	"baobabladder.example/baobabladder/internal/base/hashing"
)

// Odd are values that a peer with a fault could send. All fields must be set.
type Odd struct {
	Random *rand.Rand
	// Texts are the texts in the messages. Some should be names that the receiver knows.
	Texts []string
}

var (
	oddFloats = []float64{0, 1, -1, 1e300, math.Inf(1), math.Inf(-1), math.NaN()}
	oddInts   = []int64{0, 1, 2, -1, 1000, math.MaxInt64, math.MinInt64}
	oddUints  = []uint64{0, 1, math.MaxUint8}
)

// New returns a message with odd values.
func New[T any](odd *Odd) (message T) {
	Fill(&message, odd)
	return message
}

// Bool implements Values.
func (o *Odd) Bool(string) bool { return o.Random.IntN(2) == 0 }

// Text implements Values.
func (o *Odd) Text(string) string { return o.Texts[o.Random.IntN(len(o.Texts))] }

// Float implements Values.
func (o *Odd) Float(string) float64 { return oddFloats[o.Random.IntN(len(oddFloats))] }

// Int implements Values.
func (o *Odd) Int(string) int64 { return oddInts[o.Random.IntN(len(oddInts))] }

// Uint implements Values.
func (o *Odd) Uint(string) uint64 { return oddUints[o.Random.IntN(len(oddUints))] }

// Length implements Values.
func (o *Odd) Length(_ string, most int) int { return o.Random.IntN(most + 1) }

// ByPath are values other than zero that depend on nothing but the path, so that a new field
// changes no other.
type ByPath struct{}

// number returns a number from 1 to 100.
func number(path string) uint64 { return hashing.Strings(path)%100 + 1 }

// Bool implements Values.
func (ByPath) Bool(string) bool { return true }

// Text implements Values.
func (ByPath) Text(path string) string { return path }

// Float implements Values.
func (ByPath) Float(path string) float64 { return float64(number(path)) }

// Int implements Values.
func (ByPath) Int(path string) int64 { return int64(number(path)) }

// Uint implements Values.
func (ByPath) Uint(path string) uint64 { return number(path) }

// Length implements Values.
func (ByPath) Length(string, int) int { return 1 }
