package body

import (
	"net/http"
	"strings"
)

// ErrUnreliable is the type of errors for a reply that net/http reads although its head is
// malformed, or although nobody can tell whether its body is whole.
var ErrUnreliable = errorNamespace.NewType("unreliable")

// Status codes outside of these bounds have no meaning (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckReply returns an ErrUnreliable for a reply that CheckHead refuses, or whose body has
// no declared length and isn't sent in chunks. Such a body ends with its connection, so one
// that was cut looks whole: a server that fails closes its connections, and net/http does not
// see a reset that the write of the request's body got.
func CheckReply(reply *http.Response) error {
	if err := CheckHead(reply); err != nil {
		return err
	}
	if reply.ContentLength < 0 && len(reply.TransferEncoding) == 0 && !reply.Uncompressed {
		return ErrUnreliable.New("the reply declares no length")
	}
	return nil
}

// CheckHead returns an ErrUnreliable for a reply with a status that has no meaning, or with a
// blank in the name of a field. net/http takes both, and then doesn't know the field.
func CheckHead(reply *http.Response) error {
	if reply.StatusCode < minStatus || reply.StatusCode > maxStatus {
		return ErrUnreliable.New("the reply has the status %03d, which is not one of %d to %d", reply.StatusCode, minStatus, maxStatus)
	}
	for name := range reply.Header {
		if strings.Contains(name, " ") {
			return ErrUnreliable.New("the reply has a field with a blank in its name")
		}
	}
	return nil
}
