package gateway

import (
	"testing"

	"baobabladder.example/baobabladder/internal/policy/usage"
)

// A part of a load report that is not valid must not be taken for a free slot, or a pace.
func TestLoadReportIsReadAsFarAsItIsValid(t *testing.T) {
	for report, want := range map[string]usage.Load{
		"":              {},
		"1,0":           {},
		"x,0,3":         {},
		"-1,0,3":        {},
		"1,0,3,100,5":   {Occupancy: usage.HasFreeSlot, Pace: 100},
		"2,0,3":         {Occupancy: usage.HasFreeSlot},
		"3,0,3":         {Occupancy: usage.HasNoFreeSlot},
		"2,1,3":         {Occupancy: usage.HasNoFreeSlot},
		"3, 2, 3, 250":  {Occupancy: usage.HasNoFreeSlot, Pace: 250},
		"2,0,3,9":       {Occupancy: usage.HasFreeSlot},
		"2,0,3,fast":    {Occupancy: usage.HasFreeSlot},
		"2,0,3,1000000": {Occupancy: usage.HasFreeSlot},
	} {
		if got := readUsageLoad(report); got != want {
			t.Errorf("%q: %+v, want %+v", report, got, want)
		}
	}
}
