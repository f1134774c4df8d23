// Package control calls the stand-ins' control paths over HTTP: it sets faults
// and reads what a stand-in counted.
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
	// ErrUnexpectedStatus says that the stand-in did not take a call.
	ErrUnexpectedStatus = errorNamespace.NewType("refused")
)

// Client calls the stand-in at Address, which is host:port.
type Client struct {
	Address string
	// HTTP is optional.
	HTTP *http.Client
}

// SetStoreFaults replaces the faults of a store.
func (c *Client) SetStoreFaults(ctx context.Context, faults store.Faults) (err error) {
	defer fault.Annotate(&err, "setting the store's faults")
	return c.call(ctx, c.sling().Put("standin/faults").BodyJSON(faults), nil)
}

// StoreCallCounts returns what a store counted.
func (c *Client) StoreCallCounts(ctx context.Context) (calls store.CallCounts, err error) {
	defer fault.Annotate(&err, "reading the store's calls")
	err = c.call(ctx, c.sling().Get("standin/calls"), &calls)
	return calls, err
}

// PutVM puts an entry into the platform's list or replaces it.
func (c *Client) PutVM(ctx context.Context, v vm.VM) (err error) {
	defer fault.Annotate(&err, "listing VM %s", v.Name)
	return c.call(ctx, c.sling().Put("standin/vms/"+v.Name).BodyJSON(v), nil)
}

// RemoveVM takes an entry off the platform's list.
func (c *Client) RemoveVM(ctx context.Context, name string) (err error) {
	defer fault.Annotate(&err, "dropping VM %s", name)
	return c.call(ctx, c.sling().Delete("standin/vms/"+name), nil)
}

// SetEndpointFaults replaces the faults of an endpoint.
func (c *Client) SetEndpointFaults(ctx context.Context, faults endpoint.Faults) (err error) {
	defer fault.Annotate(&err, "setting the endpoint's faults")
	return c.call(ctx, c.sling().Put("standin/faults").BodyJSON(faults), nil)
}

// EndpointCounts returns what an endpoint counted.
func (c *Client) EndpointCounts(ctx context.Context) (counts endpoint.Counts, err error) {
	defer fault.Annotate(&err, "reading the endpoint's counts")
	err = c.call(ctx, c.sling().Get("standin/counts"), &counts)
	return counts, err
}

func (c *Client) sling() *sling.Sling {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return sling.New().Client(client).Base("http://" + c.Address + "/")
}

func (c *Client) call(ctx context.Context, built *sling.Sling, into any) error {
	request, err := built.Request()
	if err != nil {
		return err
	}
	response, err := built.Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return ErrUnexpectedStatus.New("the stand-in at %s answered %s", c.Address, response.Status)
	}
	return nil
}
