package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/wire/body"
)

const (
	// callTimeout bounds one command sent to one VM.
	callTimeout = 15 * clock.Second
	// maxReplyBytes is the size in bytes of the largest reply that a Client reads.
	maxReplyBytes = 32 << 20
)

var (
	errorNamespace = errorx.NewNamespace("operator")
	// ErrUnreachable is the error if no VM accepted the command. Nothing was changed.
	ErrUnreachable = errorNamespace.NewType("unreachable")
	// ErrNoResponse is the error if a change was sent to a VM that did not respond. The
	// change may have taken effect.
	ErrNoResponse = errorNamespace.NewType("no_answer")
)

// Client sends each command to the first VM that accepts it. Both fields must be set;
// see NewClient.
type Client struct {
	// BaseURLs holds the URLs of the operator servers of VMs, each with a final slash.
	BaseURLs []string
	HTTP     *http.Client
}

// NewClient returns a Client for the operator servers at urls.
func NewClient(urls []string) *Client {
	client := &Client{HTTP: &http.Client{Timeout: callTimeout.Duration()}}
	for _, u := range urls {
		client.BaseURLs = append(client.BaseURLs, strings.TrimSuffix(u, "/")+"/")
	}
	return client
}

// Apply submits a new text of a document.
func (c *Client) Apply(ctx context.Context, name string, input ApplyRequest) (applied ApplyResponse, err error) {
	defer fault.Annotate(&err, "applying document %s", name)
	err = c.call(ctx, httpCall{method: http.MethodPut, path: "v1/documents/" + url.PathEscape(name), body: input}, &applied)
	return applied, err
}

// Show returns one revision of a document; 0 selects the newest.
func (c *Client) Show(ctx context.Context, name string, revision int64) (shown Revision, err error) {
	defer fault.Annotate(&err, "reading document %s", name)
	query := url.Values{}
	if revision > 0 {
		query.Set("revision", strconv.FormatInt(revision, 10))
	}
	err = c.call(ctx, httpCall{method: http.MethodGet, path: "v1/documents/" + url.PathEscape(name) + "?" + query.Encode()}, &shown)
	return shown, err
}

// Compare returns the difference between two revisions of a document. If to is 0, it
// is the newest revision; if from is 0, it is the revision before to.
func (c *Client) Compare(ctx context.Context, name string, from, to int64) (comparison Comparison, err error) {
	defer fault.Annotate(&err, "comparing revisions of document %s", name)
	query := url.Values{}
	if from > 0 {
		query.Set("from", strconv.FormatInt(from, 10))
	}
	if to > 0 {
		query.Set("to", strconv.FormatInt(to, 10))
	}
	err = c.call(ctx, httpCall{method: http.MethodGet, path: "v1/documents/" + url.PathEscape(name) + "/compare?" + query.Encode()}, &comparison)
	return comparison, err
}

// History lists the revisions of a document.
func (c *Client) History(ctx context.Context, name string) (history History, err error) {
	defer fault.Annotate(&err, "reading the history of document %s", name)
	err = c.call(ctx, httpCall{method: http.MethodGet, path: "v1/documents/" + url.PathEscape(name) + "/history"}, &history)
	return history, err
}

// Issue creates a key for a workspace.
func (c *Client) Issue(ctx context.Context, input IssueRequest) (issued IssueResponse, err error) {
	defer fault.Annotate(&err, "issuing a key for workspace %s", input.Workspace)
	err = c.call(ctx, httpCall{method: http.MethodPost, path: "v1/keys", body: input}, &issued)
	return issued, err
}

// Withdraw withdraws a key.
func (c *Client) Withdraw(ctx context.Context, id, author string) (withdrawn WithdrawResponse, err error) {
	defer fault.Annotate(&err, "withdrawing key %s", id)
	query := url.Values{"author": {author}}
	err = c.call(ctx, httpCall{method: http.MethodPost, path: "v1/keys/" + url.PathEscape(id) + "/withdraw?" + query.Encode()}, &withdrawn)
	return withdrawn, err
}

// Keys lists the keys.
func (c *Client) Keys(ctx context.Context) (list KeyList, err error) {
	defer fault.Annotate(&err, "listing keys")
	err = c.call(ctx, httpCall{method: http.MethodGet, path: "v1/keys"}, &list)
	return list, err
}

// Status returns the state of the fleet as known to one VM.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	defer fault.Annotate(&err, "reading the status")
	err = c.call(ctx, httpCall{method: http.MethodGet, path: "v1/status"}, &status)
	return status, err
}

// Moves returns the state of the version moves.
func (c *Client) Moves(ctx context.Context) (moves Moves, err error) {
	defer fault.Annotate(&err, "reading the version moves")
	err = c.call(ctx, httpCall{method: http.MethodGet, path: "v1/moves"}, &moves)
	return moves, err
}

// Account returns the decision logs of all VMs and the stored decisions.
func (c *Client) Account(ctx context.Context) (account Account, err error) {
	defer fault.Annotate(&err, "reading the decision logs of all VMs")
	err = c.call(ctx, httpCall{method: http.MethodGet, path: "v1/account"}, &account)
	return account, err
}

// httpCall is one command, independent of the VM to which it is sent.
type httpCall struct {
	method string
	path   string
	// body is sent as JSON unless it is nil.
	body any
}

// request returns the HTTP request of the command for the VM at base.
func (h httpCall) request(base string) (*http.Request, error) {
	builder := sling.New().Base(base).Path(h.path)
	if h.body != nil {
		builder = builder.BodyJSON(h.body)
	}
	request, err := builder.Request()
	if err == nil {
		request.Method = h.method
	}
	return request, err
}

// call sends the command to one VM after another until one accepts it, and decodes the
// response into the given value. It tries the next VM only if the last one certainly
// changed nothing.
func (c *Client) call(ctx context.Context, command httpCall, into any) (err error) {
	err = ErrUnreachable.New("no operator URL was given")
	for _, base := range c.BaseURLs {
		var request *http.Request
		request, err = command.request(base)
		if err != nil {
			return ErrUnreachable.Wrap(err, "the operator URL %s can't be used", base)
		}
		err = c.send(request.WithContext(ctx), into)
		failure, failed := fault.As[*Failure](err)
		if failed && failure.Code != NotReady && failure.Code != Unavailable {
			return err
		}
		if err == nil || errorx.IsOfType(err, ErrNoResponse) {
			return err
		}
	}
	return err
}

func (c *Client) send(request *http.Request, into any) error {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return classifyError(request, err)
	}
	defer response.Body.Close()
	if err := body.CheckReply(response); err != nil {
		return classifyError(request, err)
	}
	content, err := body.ReadAll(response.Body, maxReplyBytes)
	if err != nil {
		return classifyError(request, err)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(content, into); err != nil {
			return classifyError(request, err)
		}
		return nil
	}
	failure := &Failure{}
	if err := json.Unmarshal(content, failure); err != nil || failure.Code == "" {
		return classifyError(request, ErrUnreachable.New("unexpected status %d", response.StatusCode))
	}
	return failure
}

// classifyError returns an ErrUnreachable if the call certainly changed nothing, and
// otherwise an ErrNoResponse.
func classifyError(request *http.Request, err error) error {
	var operation *net.OpError
	notSent := errors.As(err, &operation) && operation.Op == "dial"
	if notSent || request.Method == http.MethodGet {
		return ErrUnreachable.Wrap(err, "no answer from %s", request.URL.Host)
	}
	return ErrNoResponse.Wrap(err, "no answer from %s", request.URL.Host)
}
