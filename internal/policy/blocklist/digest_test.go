package blocklist

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestDigestTellsRequestsApart(t *testing.T) {
	g := NewWithT(t)
	base := Request{Method: "POST", Host: "shop.example", Target: "/order/1", Workspace: "w", Body: []byte("ab"), Length: 2}
	g.Expect(base.Digest()).To(Equal(base.Digest()))
	for _, change := range []func(r *Request){
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.Host = "other.example" },
		func(r *Request) { r.Target = "/order/1?a" },
		func(r *Request) { r.Workspace = "w2" },
		func(r *Request) { r.Body = []byte("ac") },
		func(r *Request) { r.Length = -1 },
		func(r *Request) { r.Target, r.Workspace = "/order/", "1w" },
	} {
		changed := base
		change(&changed)
		g.Expect(changed.Digest()).NotTo(Equal(base.Digest()))
	}
}
