package router

import (
	"context"
	"io"
	"net/http"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// pacedPiece is the most bytes of an answer that are paid for at once.
	pacedPiece = 16 << 10
	// chunkedPiece takes its place if the length is not declared: what is paid for
	// and does not come is lost.
	chunkedPiece = 2 << 10
)

// pacedAnswer is an answer's body that comes over a link. It is read no faster
// than the link takes, so that TCP holds its sender back. Bytes are paid for
// before they are read: the pieces of many answers at once would exceed the link
// otherwise.
type pacedAnswer struct {
	io.ReadCloser
	ctx   context.Context
	links LinkLimiter
	link  contract.Resource
	// left is what is not paid for of the declared length, or negative if none was
	// declared.
	left int64
	// paid is what may be read now.
	paid int64
}

// Read implements io.Reader.
func (p *pacedAnswer) Read(buffer []byte) (n int, err error) {
	if p.paid == 0 && p.left != 0 {
		if err := p.pay(); err != nil {
			return 0, err
		}
	}
	if p.paid > 0 {
		buffer = buffer[:min(int64(len(buffer)), p.paid)]
	}
	n, err = p.ReadCloser.Read(buffer)
	p.paid = max(0, p.paid-int64(n))
	return n, err
}

// pay waits for the next piece's bytes of the link.
func (p *pacedAnswer) pay() error {
	piece := int64(chunkedPiece)
	if p.left > 0 {
		piece = min(p.left, pacedPiece)
	}
	if p.links.Wait(p.ctx, p.link, piece) != nil {
		return p.interrupted()
	}
	p.paid = piece
	if p.left > 0 {
		p.left -= piece
	}
	return nil
}

func (p *pacedAnswer) interrupted() error {
	if p.ctx.Err() == context.Canceled {
		return errCallerGone
	}
	return reason.MayHaveRun(reason.DeadlinePassed, "the deadline passed while the answer came over a link")
}

// pace slows the answer down to what the link from its region takes. Regions
// without a declared link have no limit.
func (c *call) pace(ctx context.Context, answer *endpoint.Response, region string) {
	fleet := c.router.Replica.Snapshot().Fleet
	if c.router.Links == nil || fleet == nil || fleet.Link(region, c.router.Region) == nil || c.request.Method == http.MethodHead {
		return
	}
	link := contract.LinkResource(region, c.router.Region)
	answer.Body = &pacedAnswer{ReadCloser: answer.Body, ctx: ctx, links: c.router.Links, link: link, left: answer.Length}
}
