package limit_test

import (
	"context"
	"testing"

	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// holderOf returns the Holder of a VM that holds the given share of one resource.
func holderOf(resource contract.Resource, share contract.Share) *contract.Holder {
	self := vm.ID{Name: "vm1", Incarnation: 1}
	holder := &contract.Holder{Self: self}
	holder.Fence(0)
	grants := []contract.Grant{{Resource: resource, Seq: 1, Share: share, Tokens: share.Size}}
	_, _ = holder.Accept(&contract.Offer{Term: 1, To: self.Incarnation, Grants: grants})
	return holder
}

func BenchmarkAdmitFromOwnShare(b *testing.B) {
	const unlimited = 1 << 50
	holder := holderOf(contract.RateResource("artes", "large"), contract.Share{Rate: 1 << 40, Size: unlimited / 1000})
	limiter := &limit.Limiter{Holder: holder}
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if err := limiter.Admit(ctx, "artes", "large"); err != nil {
			b.Fatal(err)
		}
	}
}
