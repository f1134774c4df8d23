// Package contract describes how a limit that counts across the whole fleet is
// held: as standing shares of the entry VMs, whose sum never exceeds the limit.
package contract

// Resource names one limit. See RateOf, SlotsOf and LinkOf.
type Resource string

// RateOf names a workspace's rate and burst in a service.
func RateOf(service, workspace string) Resource {
	return Resource("rate/" + service + "/" + workspace)
}

// SlotsOf names the slots of one endpoint.
func SlotsOf(service, endpoint string) Resource {
	return Resource("slots/" + service + "/" + endpoint)
}

// LinkOf names the link between two regions, in one direction.
func LinkOf(from, to string) Resource {
	return Resource("link/" + from + "/" + to)
}

// Share is a part of a limit, or the whole of it. For slots Rate is 0 and Size
// counts slots. For a workspace Rate is in thousandths of a request per second
// and Size, the burst, in thousandths of a request. For a link Rate is in bytes
// per second and Size in bytes.
type Share struct {
	Rate int64 `json:"rate"`
	Size int64 `json:"size"`
}
