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

// replayedHeader marks a response that was recorded when the order ran.
const replayedHeader = "Order-Replayed"

// recordedHeaderNames lists the response headers that are recorded in a claim.
var recordedHeaderNames = []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", endpoint.RequestIDHeader}

// runOrder runs an order at most once, however often and through whichever VMs it is
// sent. It claims the order in the store before it sends it to an endpoint.
func (c *call) runOrder(ctx context.Context) error {
	if err := order.ValidateID(c.head.OrderID); err != nil {
		return err
	}
	if c.router.Claims == nil {
		return reason.NotRun(reason.StoreUnavailable, 0, "this VM takes no orders")
	}
	claim, previous, err := c.router.Claims.Claim(ctx, order.Order{
		Service:   c.service.Name,
		Workspace: c.workspace,
		ID:        c.head.OrderID,
		Digest:    order.Digest(c.request.Method, c.request.URL.RequestURI(), c.request.Header.Get("Content-Type"), c.body.buffered),
	})
	if err != nil {
		return err
	}
	if previous != nil {
		return c.replay(ctx, previous)
	}
	err = c.sendWithRetries(ctx, func(ctx context.Context, response *endpoint.Response) error {
		return c.recordAndRelay(ctx, claim, response)
	})
	if err != nil && !c.responseStarted && caller.AsRefusal(err).Ran == reason.RanNo {
		c.logClaimError(claim.Release(ctx), "can't release the claim of an order that did not run")
	}
	return err
}

func (c *call) logClaimError(err error, message string) {
	if err != nil && c.router.Refuser.Log != nil {
		c.router.Refuser.Log.WithFields(c.logFields()).WithError(err).Warn(message)
	}
}

// recordAndRelay records a complete response before it is sent to the caller, so that
// a resend gets the same one. If the response is larger than order.MaxResponseBytes or
// of unknown length, it relays it and then records only its status and headers.
func (c *call) recordAndRelay(ctx context.Context, claim *order.Claim, response *endpoint.Response) error {
	record := order.Response{Status: response.Status, Header: recordedHeaders(response.Header)}
	if response.Length > order.MaxResponseBytes || response.Length < 0 {
		if err := c.relayResponse(ctx, response); err != nil {
			return err
		}
		record.Omitted = true
		c.logClaimError(claim.Done(ctx, record), "can't record the response of an order")
		return nil
	}
	var content bytes.Buffer
	if _, err := io.Copy(&content, response.Body); err != nil {
		return err
	}
	record.Body = content.Bytes()
	c.logClaimError(claim.Done(ctx, record), "can't record the response of an order")
	return c.relayBuffered(ctx, response, record.Body)
}

func recordedHeaders(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range recordedHeaderNames {
		if values := header.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

// replay responds to a resend with the recorded response.
func (c *call) replay(ctx context.Context, previous *order.Response) error {
	c.w.Header().Set(replayedHeader, "yes")
	response := &endpoint.Response{Status: previous.Status, Header: previous.Header, Length: int64(len(previous.Body))}
	return c.relayBuffered(ctx, response, previous.Body)
}
