package router

import (
	"context"
	"io"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/contract"
)

// pacedAnswer is an answer's body that comes over a link. It is read no faster
// than the link takes, so that TCP holds its sender back.
type pacedAnswer struct {
	io.ReadCloser
	ctx   context.Context
	links Links
	link  contract.Resource
}

// Read implements io.Reader.
func (p *pacedAnswer) Read(buffer []byte) (n int, err error) {
	buffer = buffer[:min(len(buffer), pacedPiece)]
	n, err = p.ReadCloser.Read(buffer)
	if n == 0 {
		return 0, err
	}
	if p.links.Wait(p.ctx, p.link, int64(n)) != nil {
		return 0, p.interrupted()
	}
	return n, err
}

// pacedPiece is the most bytes of an answer that are read at once.
const pacedPiece = 16 << 10

func (p *pacedAnswer) interrupted() error {
	if p.ctx.Err() == context.Canceled {
		return errCallerGone
	}
	return reason.MayHaveRun(reason.DeadlinePassed, "the deadline passed while the answer came over a link")
}

// pace slows the answer down to what the link from its region takes. Regions
// without a declared link have no limit.
func (c *call) pace(ctx context.Context, answer *endpoint.Answer, region string) {
	fleet := c.router.Replica.Snapshot().Fleet
	if c.router.Links == nil || fleet == nil || fleet.Link(region, c.router.Region) == nil {
		return
	}
	answer.Body = &pacedAnswer{answer.Body, ctx, c.router.Links, contract.LinkOf(region, c.router.Region)}
}
