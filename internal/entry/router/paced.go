package router

import (
	"context"
	"io"
	"net/http"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// maxPieceBytes is how many bytes of a response are reserved at once.
	maxPieceBytes = 16 << 10
	// undeclaredPieceBytes is the same for a response without a declared length. It is
	// smaller, as the unused part of the last reservation is lost.
	undeclaredPieceBytes = 2 << 10
)

// pacedResponse is the body of a response that comes over a link between regions. It
// is read no faster than the link's limit, so that TCP flow control slows down the
// sender. Bytes are reserved on the link before they are read; otherwise many
// concurrent responses could exceed the limit together.
type pacedResponse struct {
	io.ReadCloser
	ctx   context.Context
	links LinkLimiter
	link  contract.Resource
	// unreserved is the part of the declared length in bytes that is not yet reserved,
	// or negative if no length was declared.
	unreserved int64
	// reserved is how many bytes may be read now.
	reserved int64
}

// Read implements io.Reader.
func (p *pacedResponse) Read(buffer []byte) (n int, err error) {
	if p.reserved == 0 && p.unreserved != 0 {
		if err := p.reserve(); err != nil {
			return 0, err
		}
	}
	if p.reserved > 0 {
		buffer = buffer[:min(int64(len(buffer)), p.reserved)]
	}
	n, err = p.ReadCloser.Read(buffer)
	p.reserved = max(0, p.reserved-int64(n))
	return n, err
}

// reserve waits until the link has allowance for the next piece.
func (p *pacedResponse) reserve() error {
	piece := int64(undeclaredPieceBytes)
	if p.unreserved > 0 {
		piece = min(p.unreserved, maxPieceBytes)
	}
	if p.links.Wait(p.ctx, p.link, piece) != nil {
		return p.interruptedError()
	}
	p.reserved = piece
	if p.unreserved > 0 {
		p.unreserved -= piece
	}
	return nil
}

func (p *pacedResponse) interruptedError() error {
	if p.ctx.Err() == context.Canceled {
		return caller.ErrLeft
	}
	return reason.MayHaveRun(reason.DeadlinePassed, "the deadline passed while the answer came over a link")
}

// paceResponse limits the response to the rate of the link from its region. There is
// no limit between regions without a declared link.
func (c *call) paceResponse(ctx context.Context, response *endpoint.Response, region string) {
	fleet := c.router.Replica.Snapshot().Fleet
	if c.router.Links == nil || fleet == nil || fleet.Link(region, c.router.Region) == nil || c.request.Method == http.MethodHead {
		return
	}
	link := contract.LinkResource(region, c.router.Region)
	response.Body = &pacedResponse{ReadCloser: response.Body, ctx: ctx, links: c.router.Links, link: link, unreserved: response.Length}
}
