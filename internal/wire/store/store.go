// Package store is the HTTP client of the platform's object store. It has the same
// guarantees as the store: versioned objects, conditional updates, watches, and a list
// of VMs that may be out of date. A change has one of three outcomes: it took effect,
// it was refused, or its outcome is unknown.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/wire/body"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// VersionHeader holds the version of an object in responses, and in requests the
// version that a change requires; 0 requires that the object does not exist.
const VersionHeader = "Object-Version"

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// maxReplyBytes is the size in bytes of the largest reply, a listing, that a Client reads.
const maxReplyBytes = 32 << 20

var (
	errorNamespace = errorx.NewNamespace("store")
	// ErrNotFound is the error if the object does not exist.
	ErrNotFound = errorNamespace.NewType("not_found")
	// ErrConflict is the error if the object was not at the expected version. Nothing
	// was changed.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrUnavailable is the error of a call that failed and changed nothing.
	ErrUnavailable = errorNamespace.NewType("unavailable")
	// ErrOutcomeUnknown is the error of a change without a definitive response. The
	// change may have taken effect, or may still do so.
	ErrOutcomeUnknown = errorNamespace.NewType("outcome_unknown")
	// ErrOverBudget is the error if the store refused a call because its budget of
	// calls is used up. Nothing was changed.
	ErrOverBudget = errorNamespace.NewType("too_busy")
)

// Object is a versioned object of the store.
type Object struct {
	Key string `json:"key"`
	// Version is the revision of the store at the last change of the object. The
	// revision of the store increases with every change of any object.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	// Deleted is set for a removed object, whose Value is empty.
	Deleted bool `json:"deleted,omitempty"`
}

// Listing is the result of List and Watch.
type Listing struct {
	// Revision is the revision of the store up to which the listing is complete.
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// VMList is the platform's list of VMs, which may be out of date.
type VMList struct {
	VMs []vm.VM `json:"vms"`
}

// Client is a client of the store. Base and HTTP must be set; see New.
type Client struct {
	// Base is the URL of the store with a final slash.
	Base string
	HTTP *http.Client
}

// New returns a Client for the store at base, such as "http://127.0.0.1:7000/".
func New(base string) *Client {
	return &Client{Base: base, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Get returns the object at key. The error is an ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (object Object, err error) {
	defer fault.Annotate(&err, "reading object %s", key)
	request, err := sling.New().Base(c.Base).Get("v1/objects/" + key).Request()
	if err != nil {
		return Object{}, err
	}
	response, body, err := c.read(ctx, request)
	if err != nil {
		return Object{}, err
	}
	version, err := parseVersion(response)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// Put writes value at key if the object is at version ifVersion, or does not exist if
// ifVersion is 0, and returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error) {
	defer fault.Annotate(&err, "writing object %s at version %d", key, ifVersion)
	request, err := sling.New().Base(c.Base).Put("v1/objects/"+key).
		Set(VersionHeader, strconv.FormatInt(ifVersion, 10)).Body(bytes.NewReader(value)).Request()
	if err != nil {
		return 0, err
	}
	return c.change(ctx, request)
}

// Delete removes the object at key if it is at version ifVersion, and returns the
// revision of the store at the removal.
func (c *Client) Delete(ctx context.Context, key string, ifVersion int64) (version int64, err error) {
	defer fault.Annotate(&err, "deleting object %s at version %d", key, ifVersion)
	request, err := sling.New().Base(c.Base).Delete("v1/objects/"+key).
		Set(VersionHeader, strconv.FormatInt(ifVersion, 10)).Request()
	if err != nil {
		return 0, err
	}
	return c.change(ctx, request)
}

// List returns the objects whose keys start with prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) (listing Listing, err error) {
	defer fault.Annotate(&err, "listing objects under %q", prefix)
	err = c.readJSON(ctx, "v1/objects?prefix="+url.QueryEscape(prefix), &listing)
	return listing, err
}

// Watch waits up to wait for changes after the revision after of objects whose keys
// start with one of prefixes, and returns them in order of revision. It returns an
// empty listing, not an error, if there are none.
func (c *Client) Watch(ctx context.Context, prefixes []string, after int64, wait clock.Millis) (listing Listing, err error) {
	defer fault.Annotate(&err, "watching changes after revision %d", after)
	query := url.Values{"prefix": prefixes}
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	err = c.readJSON(ctx, "v1/watch?"+query.Encode(), &listing)
	return listing, err
}

// VMs returns the platform's list of live and leaving VMs, sorted by name; see
// vm.StateLeaving.
func (c *Client) VMs(ctx context.Context) (list VMList, err error) {
	defer fault.Annotate(&err, "reading the list of VMs")
	err = c.readJSON(ctx, "v1/vms", &list)
	return list, err
}

func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	request, err := sling.New().Base(c.Base).Get(path).Request()
	if err != nil {
		return err
	}
	_, body, err := c.read(ctx, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return ErrUnavailable.Wrap(err, "the store's answer can't be read")
	}
	return nil
}

// read sends a request that changes nothing. An error without a response from the
// store is an ErrUnavailable.
func (c *Client) read(ctx context.Context, request *http.Request) (response *http.Response, body []byte, err error) {
	response, body, err = c.do(ctx, request)
	if err != nil {
		return nil, nil, ErrUnavailable.Wrap(err, "the store gave no answer")
	}
	return response, body, statusError(response.StatusCode)
}

// change sends a change and returns the new version. It returns an ErrOutcomeUnknown
// unless the change was not sent or the response states its outcome.
func (c *Client) change(ctx context.Context, request *http.Request) (int64, error) {
	response, _, err := c.do(ctx, request)
	if err != nil && isDialError(err) {
		return 0, ErrUnavailable.Wrap(err, "the store can't be reached")
	}
	if err != nil {
		return 0, ErrOutcomeUnknown.Wrap(err, "the store gave no answer to a change")
	}
	if !isDefinitiveStatus(response.StatusCode) {
		return 0, ErrOutcomeUnknown.New("unexpected status %d of a change", response.StatusCode)
	}
	if err := statusError(response.StatusCode); err != nil {
		return 0, err
	}
	version, err := parseVersion(response)
	if err != nil {
		return 0, ErrOutcomeUnknown.Wrap(err, "the store's answer to a change can't be read")
	}
	return version, nil
}

// isDialError reports whether the connection failed to open, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// isDefinitiveStatus reports whether a status states the outcome of a change. Any other
// status may come from an intermediary between this VM and the store.
func isDefinitiveStatus(status int) bool {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (c *Client) do(ctx context.Context, request *http.Request) (*http.Response, []byte, error) {
	response, err := c.HTTP.Do(request.WithContext(ctx))
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	if err := body.CheckReply(response); err != nil {
		return nil, nil, err
	}
	content, err := body.ReadAll(response.Body, maxReplyBytes)
	if err != nil {
		return nil, nil, err
	}
	return response, content, nil
}

// statusError returns the error for the status of a response, or nil for 200.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound.New("no such object")
	case http.StatusPreconditionFailed:
		return ErrConflict.New("the object is at another version")
	case http.StatusTooManyRequests:
		return ErrOverBudget.New("the store's budget is spent")
	case http.StatusServiceUnavailable:
		return ErrUnavailable.New("the store is down")
	default:
		return ErrUnavailable.New("unexpected status %d", status)
	}
}

func parseVersion(response *http.Response) (int64, error) {
	version, err := strconv.ParseInt(response.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return 0, ErrUnavailable.Wrap(err, "the answer has no %s", VersionHeader)
	}
	return version, nil
}
