package router

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/order"
)

// replayedHeader marks the recorded answer of an order that ran before.
const replayedHeader = "Order-Replayed"

// recorded lists the answer's headers that a claim keeps.
var recorded = []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", endpoint.RequestIDHeader}

// runOrder runs an order at most once, whichever VMs it is sent through.
func (c *call) runOrder(ctx context.Context) error {
	if err := order.ValidateID(c.head.OrderID); err != nil {
		return err
	}
	if c.router.Claims == nil {
		return reason.NotRun(reason.StoreUnavailable, 0, "this VM takes no orders")
	}
	claim, earlier, err := c.router.Claims.Claim(ctx, order.Order{
		Service:   c.service.Name,
		Workspace: c.workspace,
		ID:        c.head.OrderID,
		Digest:    order.Digest(c.request.Method, c.request.URL.RequestURI(), c.request.Header.Get("Content-Type"), c.body.whole),
	})
	if err != nil {
		return err
	}
	if earlier != nil {
		return c.replay(ctx, earlier)
	}
	err = c.run(ctx, func(ctx context.Context, answer *endpoint.Response) error {
		return c.recordAndPass(ctx, claim, answer)
	})
	if err != nil && !c.answering && caller.AsRefusal(err).Ran == reason.RanNo {
		c.noteClaim(claim.Release(ctx), "releasing the claim of an order failed")
	}
	return err
}

func (c *call) noteClaim(err error, what string) {
	if err != nil && c.router.Refuser.Log != nil {
		c.router.Refuser.Log.WithFields(c.fields()).WithError(err).Warn(what)
	}
}

// recordAndPass records a whole answer before the caller sees it, so that the
// caller's resend can get no other one.
func (c *call) recordAndPass(ctx context.Context, claim *order.Claim, answer *endpoint.Response) error {
	ended := order.Answer{Status: answer.Status, Header: keptHeader(answer.Header)}
	if answer.Length > order.MaxAnswerBytes || answer.Length < 0 {
		if err := c.pass(ctx, answer); err != nil {
			return err
		}
		ended.Omitted = true
		c.noteClaim(claim.Done(ctx, ended), "recording the end of an order failed")
		return nil
	}
	var content bytes.Buffer
	if _, err := io.Copy(&content, answer.Body); err != nil {
		return err
	}
	ended.Body = content.Bytes()
	c.noteClaim(claim.Done(ctx, ended), "recording the end of an order failed")
	return c.passWhole(ctx, answer, ended.Body)
}

func keptHeader(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range recorded {
		if values := header.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

// replay answers a resend with what the order got when it ran.
func (c *call) replay(ctx context.Context, earlier *order.Answer) error {
	c.w.Header().Set(replayedHeader, "yes")
	answer := &endpoint.Response{Status: earlier.Status, Header: earlier.Header, Length: int64(len(earlier.Body))}
	return c.passWhole(ctx, answer, earlier.Body)
}
