// Package store speaks to the platform's object store over HTTP. It adds
// nothing to the store's promises: versions, conditional updates, watches and
// the lagging list of VMs. It tells apart three ends of a change: it stands, it
// was refused, or its outcome is unknown.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// VersionHeader carries an object's version in answers, and the version that a
// change depends on in requests; 0 there means that the object must not exist.
const VersionHeader = "Object-Version"

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

var (
	errorNamespace = errorx.NewNamespace("store")
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errorNamespace.NewType("not_found")
	// ErrConflict says that the object was not at the expected version; nothing changed.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrUnavailable says that a call failed and changed nothing.
	ErrUnavailable = errorNamespace.NewType("unavailable")
	// ErrOutcomeUnknown says that a change got no answer: it may stand.
	ErrOutcomeUnknown = errorNamespace.NewType("outcome_unknown")
	// ErrOverBudget says that the store refused a call over its budget; nothing changed.
	ErrOverBudget = errorNamespace.NewType("too_busy")
)

// Object is one versioned value.
type Object struct {
	Key string `json:"key"`
	// Version is the store's revision at the object's last change. Revisions
	// count all changes of the store and only grow.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	// Deleted marks a removal; Value is empty then.
	Deleted bool `json:"deleted,omitempty"`
}

// Listing is the answer of List and Watch.
type Listing struct {
	// Revision is the store's revision that the listing is complete up to.
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// VMList is the platform's lagging list of VMs.
type VMList struct {
	VMs []vm.VM `json:"vms"`
}

// Client calls the store. Base and HTTP must be set; see New.
type Client struct {
	// Base is the store's URL, ending with a slash.
	Base string
	HTTP *http.Client
}

// New returns a Client for the store at base, such as "http://127.0.0.1:7000/".
func New(base string) *Client {
	return &Client{Base: base, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Get returns the object at key, or ErrNotFound.
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

// Put writes value at key if the object is at version ifVersion (0: absent) and
// returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error) {
	defer fault.Annotate(&err, "writing object %s at version %d", key, ifVersion)
	request, err := sling.New().Base(c.Base).Put("v1/objects/"+key).
		Set(VersionHeader, strconv.FormatInt(ifVersion, 10)).Body(bytes.NewReader(value)).Request()
	if err != nil {
		return 0, err
	}
	return c.change(ctx, request)
}

// Delete removes the object at key if it is at version ifVersion and returns
// the revision of the removal.
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

// Watch waits up to wait for changes after the given revision under any of the
// prefixes and returns them in order of revision; none at all is no error.
func (c *Client) Watch(ctx context.Context, prefixes []string, after int64, wait clock.Millis) (listing Listing, err error) {
	defer fault.Annotate(&err, "watching changes after revision %d", after)
	query := url.Values{"prefix": prefixes}
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	err = c.readJSON(ctx, "v1/watch?"+query.Encode(), &listing)
	return listing, err
}

// VMs returns the platform's list of live and leaving VMs, sorted by name.
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

func (c *Client) read(ctx context.Context, request *http.Request) (response *http.Response, body []byte, err error) {
	response, body, err = c.do(ctx, request)
	if err != nil {
		return nil, nil, ErrUnavailable.Wrap(err, "the store gave no answer")
	}
	return response, body, statusError(response.StatusCode)
}

func (c *Client) change(ctx context.Context, request *http.Request) (int64, error) {
	response, _, err := c.do(ctx, request)
	if err != nil && isDialError(err) {
		return 0, ErrUnavailable.Wrap(err, "the store can't be reached")
	}
	if err != nil {
		return 0, ErrOutcomeUnknown.Wrap(err, "the store gave no answer to a change")
	}
	if !isSettled(response.StatusCode) {
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

// isDialError says whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// isSettled says whether a status tells what became of a change. Any other one
// may come from something on the way to the store.
func isSettled(status int) bool {
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
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, err
	}
	return response, body, nil
}

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
