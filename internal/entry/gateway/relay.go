package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is read into
	// memory before its first byte is sent to the caller, so that a truncated one can
	// be retried or refused.
	maxBufferedResponse = 256 << 10
	copyBufferBytes     = 32 << 10
)

// relayResponse relays a response to the caller. A response of up to
// maxBufferedResponse bytes is read whole first; a longer one is streamed.
func (c *call) relayResponse(ctx context.Context, response *endpoint.Response) error {
	if isPromise(response.Status) && !c.isIdempotent() {
		return withhold(response)
	}
	if c.request.Method == http.MethodHead {
		c.writeResponseHead(response, response.Length)
		return nil
	}
	if response.Length > maxBufferedResponse {
		return c.relayStream(response, nil)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponse))
	if err != nil {
		return err
	}
	if response.Length < 0 && len(content) == maxBufferedResponse {
		return c.relayStream(response, content)
	}
	if response.Status >= http.StatusInternalServerError && c.canRetryFailedResponse(ctx) {
		return reason.MayHaveRun(reason.EndpointFailed, "the endpoint answered with status %d", response.Status)
	}
	c.writeResponseHead(response, int64(len(content)))
	if _, err := c.w.Write(content); err != nil {
		return caller.ErrLeft
	}
	return nil
}

// unstatedPromiseError is the error for a whole response whose status promises more than the
// endpoint stated.
type unstatedPromiseError struct{ *reason.Refusal }

// Unwrap returns the refusal that is sent to the caller.
func (e *unstatedPromiseError) Unwrap() error { return e.Refusal }

// withhold reads a response that is not relayed to its end.
func withhold(response *endpoint.Response) error {
	if _, err := io.CopyN(io.Discard, response.Body, maxBufferedResponse); err != nil && err != io.EOF {
		return err
	}
	return &unstatedPromiseError{reason.MayHaveRun(reason.EndpointFailed, "the endpoint answered with status %d without stating that it did not run the request", response.Status)}
}

// canRetryFailedResponse reports whether to retry after a response with a 5xx status:
// the request is idempotent and was not forwarded, an attempt is left, and so is more than
// the route's target latency.
func (c *call) canRetryFailedResponse(ctx context.Context) bool {
	return c.forwardedTo == "" && c.isIdempotent() && c.earlierAttempts+len(c.triedEndpoints)+1 < c.route.MaxAttempts && remainingTime(ctx) > c.route.TargetLatency
}

func (c *call) relayStream(response *endpoint.Response, prefix []byte) error {
	c.writeResponseHead(response, response.Length)
	if _, err := c.w.Write(prefix); err != nil {
		return caller.ErrLeft
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := c.w.Write(buffer[:n]); err != nil {
				return caller.ErrLeft
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeResponseHead writes a response's status and headers. A negative length is not
// declared.
func (c *call) writeResponseHead(response *endpoint.Response, length int64) {
	c.responseStarted = true
	header := c.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if length >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(response.Status)
}
