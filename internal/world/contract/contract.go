// Package contract describes how a limit that counts across the whole fleet is
// held: as standing shares of the entry VMs, whose sum never exceeds the limit.
package contract

import "strings"

// Resource names one limit. See RateOf, SlotsOf and LinkOf.
type Resource string

// Kind tells how a resource is counted.
type Kind int

// The kinds of resource.
const (
	// KindRate is a workspace's rate and burst.
	KindRate Kind = iota
	// KindSlots is the number of requests that an endpoint runs at once.
	KindSlots
	// KindLink is the bandwidth of a link in one direction.
	KindLink
)

const (
	ratePrefix  = "rate/"
	slotsPrefix = "slots/"
	linkPrefix  = "link/"
)

// TokensPerRequest is what one request takes from a workspace's share, in thousandths.
const TokensPerRequest = 1000

// RateResource names a workspace's rate and burst in a service.
func RateResource(service, workspace string) Resource {
	return Resource(ratePrefix + service + "/" + workspace)
}

// Workspace returns what RateOf was given.
func (r Resource) Workspace() (service, workspace string, ok bool) {
	name, isRate := strings.CutPrefix(string(r), ratePrefix)
	if !isRate {
		return "", "", false
	}
	return strings.Cut(name, "/")
}

// SlotsResource names the slots of one endpoint.
func SlotsResource(service, endpoint string) Resource {
	return Resource(slotsPrefix + service + "/" + endpoint)
}

// LinkResource names the link between two regions, in one direction.
func LinkResource(from, to string) Resource {
	return Resource(linkPrefix + from + "/" + to)
}

// Kind returns the resource's kind.
func (r Resource) Kind() Kind {
	switch {
	case strings.HasPrefix(string(r), slotsPrefix):
		return KindSlots
	case strings.HasPrefix(string(r), linkPrefix):
		return KindLink
	}
	return KindRate
}

// Share is a part of a limit, or the whole of it. For slots Rate is 0 and Size
// counts slots. For a workspace Rate is in thousandths of a request per second
// and Size, the burst, in thousandths of a request. For a link Rate is in bytes
// per second and Size in bytes.
type Share struct {
	Rate int64 `json:"rate"`
	Size int64 `json:"size"`
}

// Max returns the larger of each part of s and other.
func (s Share) Max(other Share) Share {
	return Share{Rate: max(s.Rate, other.Rate), Size: max(s.Size, other.Size)}
}

// Min returns the smaller of each part of s and other.
func (s Share) Min(other Share) Share {
	return Share{Rate: min(s.Rate, other.Rate), Size: min(s.Size, other.Size)}
}

// Plus returns the sum of s and other.
func (s Share) Plus(other Share) Share {
	return Share{Rate: s.Rate + other.Rate, Size: s.Size + other.Size}
}

// Minus returns s less other, no part of it below 0.
func (s Share) Minus(other Share) Share {
	return Share{Rate: max(0, s.Rate-other.Rate), Size: max(0, s.Size-other.Size)}
}
