package inflight_test

import (
	"testing"

	"baobabladder.example/baobabladder/internal/control/inflight"
)

func TestOneCallToEachVMAtATime(t *testing.T) {
	var set inflight.Set
	if !set.Begin("vm-1") || set.Begin("vm-1") || !set.Begin("vm-2") {
		t.Error("a second call to vm-1 must wait for the end of the first, one to vm-2 must not")
	}
	if set.End("vm-1"); !set.Begin("vm-1") {
		t.Error("after the end of a call the next one may begin")
	}
}
