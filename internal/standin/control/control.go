// Package control is the client of the HTTP control APIs of the stand-ins: it sets faults,
// changes the platform's list of VMs, and reads call and request statistics.
package control

import (
	"context"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

var (
	errorNamespace = errorx.NewNamespace("control")
	// ErrUnexpectedStatus is the error type for a response with a status other than 200.
	ErrUnexpectedStatus = errorNamespace.NewType("refused")
)

// Client is a control client of the stand-in at Address (host:port).
type Client struct {
	Address string
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// SetStoreFaults replaces the current faults of a store.
func (c *Client) SetStoreFaults(ctx context.Context, faults store.Faults) (err error) {
	defer fault.Annotate(&err, "setting the store's faults")
	return c.send(ctx, c.newRequest().Put("standin/faults").BodyJSON(faults), nil)
}

// StoreCallCounts returns the call statistics of a store.
func (c *Client) StoreCallCounts(ctx context.Context) (calls store.CallCounts, err error) {
	defer fault.Annotate(&err, "reading the store's call counts")
	err = c.send(ctx, c.newRequest().Get("standin/calls"), &calls)
	return calls, err
}

// PutVM adds a VM to the platform's list or replaces its entry.
func (c *Client) PutVM(ctx context.Context, v vm.VM) (err error) {
	defer fault.Annotate(&err, "adding VM %s to the platform's list", v.Name)
	return c.send(ctx, c.newRequest().Put("standin/vms/"+v.Name).BodyJSON(v), nil)
}

// RemoveVM removes a VM from the platform's list.
func (c *Client) RemoveVM(ctx context.Context, name string) (err error) {
	defer fault.Annotate(&err, "removing VM %s from the platform's list", name)
	return c.send(ctx, c.newRequest().Delete("standin/vms/"+name), nil)
}

// SetEndpointFaults replaces the current faults of an endpoint.
func (c *Client) SetEndpointFaults(ctx context.Context, faults endpoint.Faults) (err error) {
	defer fault.Annotate(&err, "setting the endpoint's faults")
	return c.send(ctx, c.newRequest().Put("standin/faults").BodyJSON(faults), nil)
}

// EndpointCounts returns the statistics of an endpoint.
func (c *Client) EndpointCounts(ctx context.Context) (counts endpoint.Counts, err error) {
	defer fault.Annotate(&err, "reading the endpoint's counts")
	err = c.send(ctx, c.newRequest().Get("standin/counts"), &counts)
	return counts, err
}

func (c *Client) newRequest() *sling.Sling {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return sling.New().Client(client).Base("http://" + c.Address + "/")
}

func (c *Client) send(ctx context.Context, builder *sling.Sling, result any) error {
	request, err := builder.Request()
	if err != nil {
		return err
	}
	response, err := builder.Do(request.WithContext(ctx), result, nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return ErrUnexpectedStatus.New("the stand-in at %s answered with status %s in place of 200", c.Address, response.Status)
	}
	return nil
}
