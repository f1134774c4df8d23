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
	authorization = "Authorization"
	bearer        = "bearer "
	// DeadlineHeader is how many milliseconds the caller waits for its answer.
	DeadlineHeader = "Deadline-Ms"
	// OrderIDHeader names an order or payment.
	OrderIDHeader = "Order-Id"
)

const maxHeaderFields = 64

// single lists headers that must not stand twice. net/http refuses a doubled
// Host and differing Content-Lengths itself.
var single = []string{OrderIDHeader, DeadlineHeader, "Content-Type", "Expect"}

// Head is what a well-formed head says beside its path and headers.
type Head struct {
	// Key is the key's text, empty if there is none. It is never logged, stored
	// or sent on.
	Key string
	// Deadline is what the caller asks for; 0 if it names none.
	Deadline clock.Millis
	// OrderID is empty if there is none.
	OrderID string
}

// ReadHead checks a request's head, takes the key out of it and drops its
// trailers. After an error nothing of the head may be logged or sent on: it may
// hold a key.
func ReadHead(request *http.Request) (head Head, err error) {
	return ReadHeadWith(request, key.IsWellFormed)
}

// ReadHeadWith is ReadHead for keys of another form.
func ReadHeadWith(request *http.Request, isKey func(text string) bool) (head Head, err error) {
	if head.Key, err = takeKey(request, isKey); err != nil {
		return Head{}, err
	}
	if err := checkFields(request); err != nil {
		return Head{}, err
	}
	if !isPlainPath(request) {
		return Head{}, reason.NotRun(reason.BadRequest, 0, "the path has empty, dot or encoded-slash segments")
	}
	head.OrderID = request.Header.Get(OrderIDHeader)
	head.Deadline, err = readDeadline(request.Header.Get(DeadlineHeader))
	return head, err
}

// takeKey removes the key from the request and returns it. A key anywhere but in
// the one Authorization header is refused.
func takeKey(request *http.Request, isKey func(text string) bool) (text string, err error) {
	values := request.Header[authorization]
	delete(request.Header, authorization)
	if len(values) == 1 {
		if text, err = readBearer(values[0], isKey); err != nil {
			return "", err
		}
	}
	if isKeyElsewhere(request, text) {
		return "", reason.NotRun(reason.KeyMisplaced, 0, "a key stands outside the Authorization header")
	}
	request.Trailer = nil
	if len(values) > 1 {
		return "", reason.NotRun(reason.KeyDoubled, 0, "the Authorization header stands %d times", len(values))
	}
	return text, nil
}

func readBearer(value string, isKey func(text string) bool) (text string, err error) {
	if len(value) < len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return "", nil
	}
	text = strings.TrimSpace(value[len(bearer):])
	if strings.Count(text, key.Prefix) > 1 && !isKey(text) {
		return "", reason.NotRun(reason.KeyDoubled, 0, "the Authorization header holds more than one key")
	}
	if !isKey(text) {
		return "", reason.NotRun(reason.KeyUnknown, 0, "the key is malformed")
	}
	return text, nil
}

func isKeyElsewhere(request *http.Request, secret string) bool {
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

func checkFields(request *http.Request) error {
	count := 0
	for _, values := range request.Header {
		count += len(values)
	}
	if count > maxHeaderFields {
		return reason.NotRun(reason.HeadTooLarge, 0, "the head has %d fields, at most %d are allowed", count, maxHeaderFields)
	}
	for _, name := range single {
		if len(request.Header[name]) > 1 {
			return reason.NotRun(reason.BadRequest, 0, "the header %s stands twice", name)
		}
	}
	return nil
}

// isPlainPath reports whether each reader of the path sees the same segments. An
// endpoint that resolves dots would otherwise run a keyed path for a caller that
// only named an open one.
func isPlainPath(request *http.Request) bool {
	plain := request.URL.Path
	if !strings.HasPrefix(plain, "/") || strings.ContainsAny(plain, "\\\x00") {
		return false
	}
	cleaned := path.Clean(plain)
	if cleaned != "/" && strings.HasSuffix(plain, "/") {
		cleaned += "/"
	}
	escaped := strings.ToLower(request.URL.EscapedPath())
	return cleaned == plain && !strings.Contains(escaped, "%2f") && !strings.Contains(escaped, "%5c") && !strings.Contains(escaped, "%25")
}

func readDeadline(value string) (clock.Millis, error) {
	if value == "" {
		return 0, nil
	}
	asked, err := strconv.ParseInt(value, 10, 32)
	if err != nil || asked <= 0 {
		return 0, reason.NotRun(reason.BadRequest, 0, "the header %s must be a whole number of milliseconds above 0", DeadlineHeader)
	}
	return clock.Millis(asked), nil
}
