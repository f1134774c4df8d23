// Package endpoint speaks HTTP to a firm's endpoints. It sends a request at most
// once and never passes on a caller's key.
package endpoint

import (
	"context"
	"io"
	"net/http"

	"baobabladder.example/baobabladder/internal/base/reason"
)

// Headers between an entry VM and an endpoint.
const (
	// RequestIDHeader names the request; an endpoint echoes it.
	RequestIDHeader = "Request-Id"
	// OrderIDHeader names an order or payment.
	OrderIDHeader = "Order-Id"
	// DeadlineHeader holds the milliseconds left to the caller.
	DeadlineHeader = "Deadline-Ms"
	// LoadHeader holds "running/slots" in an endpoint's answer.
	LoadHeader = "Endpoint-Load"
	// NotRunHeader in an answer says that the endpoint did not run the request.
	NotRunHeader = "Request-Not-Run"
)

// Client sends requests to endpoints. Make it with New.
type Client struct {
	transport *http.Transport
}

// New returns a Client.
func New() *Client {
	return &Client{transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// Send sends request to the endpoint at address and returns its answer, whose
// body the caller closes.
func (c *Client) Send(ctx context.Context, address string, request *http.Request, body io.Reader) (response *http.Response, err error) {
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.URL.RequestURI(), body)
	if err != nil {
		return nil, reason.NotRun(reason.BadRequest, 0, "the request cannot be passed on: %v", err)
	}
	out.ContentLength = request.ContentLength
	for name, values := range request.Header {
		out.Header[name] = values
	}
	out.Header.Del("Authorization")
	response, err = c.transport.RoundTrip(out)
	if err != nil {
		return nil, reason.MayHaveRun(reason.EndpointFailed, "the endpoint at %s gave no answer: %v", address, err)
	}
	return response, nil
}
