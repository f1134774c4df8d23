package caller

import (
	"net/http"
	"path"
	"strconv"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/world/key"
)

// Headers that callers send.
const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "bearer "
	// DeadlineHeader holds how long the caller waits for the response, in
	// milliseconds.
	DeadlineHeader = "Deadline-Ms"
	// OrderIDHeader holds the id of an order or payment.
	OrderIDHeader = "Order-Id"
)

// singleValueHeaders lists headers that must not be repeated. net/http itself refuses
// a repeated Host header and differing Content-Length headers.
var singleValueHeaders = []string{OrderIDHeader, DeadlineHeader, "Content-Type", "Expect"}

// Head holds the values that ReadHead extracts from the head of a request.
type Head struct {
	// Key is the text of the caller's key, or empty. It must not be logged, stored or
	// forwarded.
	Key string
	// Deadline is how long the caller waits for the response, or 0 if the request does
	// not state it.
	Deadline clock.Millis
	// OrderID is the id of the order or payment, or empty.
	OrderID string
}

// ReadHead validates the head of a request, removes the key and the trailers from it
// and returns the extracted values. The error is a *reason.Refusal. After an error no
// part of the head may be logged or forwarded, because it may contain a key.
func ReadHead(request *http.Request) (head Head, err error) {
	return ReadHeadWith(request, key.IsWellFormed)
}

// ReadHeadWith is like ReadHead, but isKey decides whether a text is a well-formed
// key.
func ReadHeadWith(request *http.Request, isKey func(text string) bool) (head Head, err error) {
	if head.Key, err = extractKey(request, isKey); err != nil {
		return Head{}, err
	}
	if err := checkFields(request); err != nil {
		return Head{}, err
	}
	if !isCanonicalPath(request) {
		return Head{}, reason.NotRun(reason.BadRequest, 0, "the path has empty, dot or encoded-slash segments")
	}
	noteRequestID(request)
	head.OrderID = request.Header.Get(OrderIDHeader)
	head.Deadline, err = parseDeadline(request.Header.Get(DeadlineHeader))
	return head, err
}

// extractKey removes the key from the request and returns it. It refuses a request
// with a key outside of a single Authorization header.
func extractKey(request *http.Request, isKey func(text string) bool) (text string, err error) {
	values := request.Header[authorizationHeader]
	delete(request.Header, authorizationHeader)
	if len(values) == 1 {
		if text, err = parseBearer(values[0], isKey); err != nil {
			return "", err
		}
	}
	if hasMisplacedKey(request, text) {
		return "", reason.NotRun(reason.KeyMisplaced, 0, "a key stands outside the Authorization header")
	}
	request.Trailer = nil
	if len(values) > 1 {
		return "", reason.NotRun(reason.KeyDoubled, 0, "the Authorization header stands %d times", len(values))
	}
	return text, nil
}

// parseBearer returns the key in the value of an Authorization header. The key is
// empty if the value has another scheme.
func parseBearer(value string, isKey func(text string) bool) (text string, err error) {
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", nil
	}
	text = strings.TrimSpace(value[len(bearerPrefix):])
	if strings.Count(text, key.Prefix) > 1 && !isKey(text) {
		return "", reason.NotRun(reason.KeyDoubled, 0, "the Authorization header holds more than one key")
	}
	if !isKey(text) {
		return "", reason.NotRun(reason.KeyUnknown, 0, "the key is malformed")
	}
	return text, nil
}

// hasMisplacedKey reports whether the request contains a key, or secret, in its URI,
// host, method, remaining headers or names of trailers.
func hasMisplacedKey(request *http.Request, secret string) bool {
	if key.Contains(request.RequestURI, secret) || key.Contains(request.Host, secret) || key.Contains(request.Method, secret) {
		return true
	}
	for name, values := range request.Header {
		if key.Contains(name, secret) {
			return true
		}
		for _, value := range values {
			if key.Contains(value, secret) {
				return true
			}
		}
	}
	for name := range request.Trailer {
		if key.Contains(name, secret) {
			return true
		}
	}
	return false
}

// checkFields refuses repeated singleValueHeaders.
func checkFields(request *http.Request) error {
	for _, name := range singleValueHeaders {
		if len(request.Header[name]) > 1 {
			return reason.NotRun(reason.BadRequest, 0, "the header %s stands twice", name)
		}
	}
	return nil
}

// isCanonicalPath reports whether every parser of the path sees the same segments.
// Otherwise a caller could name a path that needs no key, and an endpoint that
// resolves dot segments would run a path that needs one.
func isCanonicalPath(request *http.Request) bool {
	decoded := request.URL.Path
	if !strings.HasPrefix(decoded, "/") || strings.ContainsAny(decoded, "\\\x00") {
		return false
	}
	cleaned := path.Clean(decoded)
	if cleaned != "/" && strings.HasSuffix(decoded, "/") {
		cleaned += "/"
	}
	escaped := strings.ToLower(request.URL.EscapedPath())
	return cleaned == decoded && !strings.Contains(escaped, "%2f") && !strings.Contains(escaped, "%5c") && !strings.Contains(escaped, "%25")
}

func parseDeadline(value string) (clock.Millis, error) {
	if value == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(value, 10, 32)
	if err != nil || millis <= 0 {
		return 0, reason.NotRun(reason.BadRequest, 0, "the header %s must be a whole number of milliseconds above 0", DeadlineHeader)
	}
	return clock.Millis(millis), nil
}
