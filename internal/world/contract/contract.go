// Package contract defines how a limit that counts across the whole fleet is
// held. Each entry VM holds a standing share of the limit, and the sum of all
// shares never exceeds it. The divider, which is the VM that holds the divider
// lease, changes shares by sending offers with grants. Every offer carries the
// term of that lease, so a VM can refuse the offers of a previous divider.
// Between grants, a VM may lend free slots of an endpoint to another VM.
package contract

import "strings"

// Resource is the name of one limit. RateResource, SlotsResource and
// LinkResource build it.
type Resource string

// Kind states what a resource counts.
type Kind int

// Kinds of resources.
const (
	// KindRate is a workspace's request rate and burst in one service.
	KindRate Kind = iota
	// KindSlots is the number of requests that an endpoint runs concurrently.
	KindSlots
	// KindLink is the bandwidth of a link between regions in one direction.
	KindLink
)

const (
	ratePrefix  = "rate/"
	slotsPrefix = "slots/"
	linkPrefix  = "link/"
)

// TokensPerRequest is the number of tokens that one request takes from a
// workspace's share, since these shares are counted in thousandths of a
// request.
const TokensPerRequest = 1000

// RateResource returns the resource for a workspace's rate and burst in a
// service.
func RateResource(service, workspace string) Resource {
	return Resource(ratePrefix + service + "/" + workspace)
}

// Workspace returns the service and workspace of a resource built by
// RateResource. ok is false for other resources.
func (r Resource) Workspace() (service, workspace string, ok bool) {
	name, isRate := strings.CutPrefix(string(r), ratePrefix)
	if !isRate {
		return "", "", false
	}
	return strings.Cut(name, "/")
}

// SlotsResource returns the resource for the slots of one endpoint.
func SlotsResource(service, endpoint string) Resource {
	return Resource(slotsPrefix + service + "/" + endpoint)
}

// LinkResource returns the resource for the link between two regions, in the
// direction given.
func LinkResource(from, to string) Resource {
	return Resource(linkPrefix + from + "/" + to)
}

// Kind returns how the resource is counted.
func (r Resource) Kind() Kind {
	switch {
	case strings.HasPrefix(string(r), slotsPrefix):
		return KindSlots
	case strings.HasPrefix(string(r), linkPrefix):
		return KindLink
	}
	return KindRate
}

// Share is a part of a limit, or the whole of it. For a workspace, Rate is in
// thousandths of a request per second and Size, the burst, is in thousandths of
// a request. For a link, Rate is in bytes per second and Size is in bytes. For
// slots, Rate is 0 and Size is the number of slots.
type Share struct {
	Rate int64 `json:"rate"`
	Size int64 `json:"size"`
}

// Max returns the maximum of s and other, field by field.
func (s Share) Max(other Share) Share {
	return Share{Rate: max(s.Rate, other.Rate), Size: max(s.Size, other.Size)}
}

// Min returns the minimum of s and other, field by field.
func (s Share) Min(other Share) Share {
	return Share{Rate: min(s.Rate, other.Rate), Size: min(s.Size, other.Size)}
}

// Plus returns the sum of s and other, field by field.
func (s Share) Plus(other Share) Share {
	return Share{Rate: s.Rate + other.Rate, Size: s.Size + other.Size}
}

// Minus returns s minus other, field by field; negative results become 0.
func (s Share) Minus(other Share) Share {
	return Share{Rate: max(0, s.Rate-other.Rate), Size: max(0, s.Size-other.Size)}
}
