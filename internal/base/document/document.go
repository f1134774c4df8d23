// Package document parses the INI documents with which operators configure the
// system. There are two kinds. A service document defines one team's routes,
// workspaces, endpoints, limits, deadlines, drains and version moves. The fleet
// document defines what all services share: regions, links and blocks of client
// addresses.
//
// A document is accepted or rejected as a whole: Parse returns either a
// document in which every value is in range, or an error that names the
// section, the key, the value and what is allowed. Parsed documents are
// immutable and safe for concurrent use.
package document

import (
	"net/netip"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// FleetName is the name of the fleet document.
const FleetName = "fleet"

// Work is the kind of a route's requests. It determines whether they may be
// retried.
type Work string

// Kinds of requests.
const (
	// WorkCatalogue requests are idempotent and may be retried.
	WorkCatalogue Work = "catalogue"
	// WorkOrder requests run at most once and carry an order id.
	WorkOrder Work = "order"
	// WorkUpload requests have large bodies, which are streamed and never
	// buffered whole.
	WorkUpload Work = "upload"
)

// Document is a parsed document. Exactly one of Service and Fleet is set.
type Document struct {
	Name    string
	Service *Service
	Fleet   *Fleet
}

// Service is the content of a service document. Slices are sorted by name,
// except that Routes is sorted by decreasing length of the prefix, so that the
// first match is the longest.
type Service struct {
	Name string
	// Deadline is the deadline of requests that carry none. Routes may override
	// it.
	Deadline   clock.Millis
	Routes     []Route
	Workspaces []Workspace
	Endpoints  []Endpoint
	Drains     []Drain
	// Moves has at most one entry.
	Moves []Move
	// ShiftCap is the maximum share of the service's traffic that may change
	// region or version within one second, in thousandths.
	ShiftCap int
}

// Route configures the requests with one path prefix.
type Route struct {
	// Prefix starts and ends with a slash.
	Prefix string
	Work   Work
	// Public reports whether requests need no API key.
	Public   bool
	Deadline clock.Millis
	// MaxBody is the size of the largest request body accepted, in bytes.
	MaxBody int64
}

// Workspace is the rate limit of one workspace in the service.
type Workspace struct {
	Name string
	// Rate is in thousandths of a request per second.
	Rate int64
	// Burst is in whole requests, at least 1.
	Burst int64
}

// Endpoint is one instance of the service.
type Endpoint struct {
	Name string
	// Address is IP:port.
	Address    string
	Region     string
	DataCentre string
	Version    string
	// Slots is the number of requests that the endpoint runs concurrently, at
	// least 1.
	Slots int
}

// DrainKind is the kind of object that a drain applies to.
type DrainKind string

// Kinds of drains.
const (
	DrainEndpoint   DrainKind = "endpoint"
	DrainDataCentre DrainKind = "data_centre"
	DrainRegion     DrainKind = "region"
)

// Drain excludes an endpoint, a data centre or a region from new requests.
type Drain struct {
	Kind DrainKind
	// Name is the name of the endpoint, data centre or region.
	Name string
}

// Move is a request to shift the service's traffic from one version to another.
type Move struct {
	From string
	To   string
	// Deadline is the wall time by which the move must be complete, in Unix
	// milliseconds.
	Deadline clock.Millis
	// Start is the wall time before which the new version receives no traffic, in
	// Unix milliseconds. 0 allows an immediate start.
	Start clock.Millis
	// MaxSlowdownPercent is how much higher the new version's 90th percentile
	// latency may be than the old version's, in percent, before the new version
	// counts as faulty.
	MaxSlowdownPercent int
}

// Fleet is the content of the fleet document. Slices are sorted.
type Fleet struct {
	Regions      []Region
	Links        []Link
	ClientBlocks []ClientBlock
}

// Region is a region and its data centres.
type Region struct {
	Name        string
	DataCentres []string
}

// Link is the connection between two regions.
type Link struct {
	// A sorts before B.
	A, B string
	// Mbit is the capacity available to the system in each direction, in Mbit/s.
	Mbit int
	// Latency is the round-trip time, in milliseconds.
	Latency clock.Millis
}

// ClientBlock assigns a block of client addresses to its nearest region.
type ClientBlock struct {
	Prefix netip.Prefix
	Region string
}

// Route returns the route with the longest prefix of path, or nil.
func (s *Service) Route(path string) *Route {
	for i := range s.Routes {
		prefix := s.Routes[i].Prefix
		if len(path) >= len(prefix) && path[:len(prefix)] == prefix {
			return &s.Routes[i]
		}
	}
	return nil
}

// Workspace returns the workspace with the given name, or nil.
func (s *Service) Workspace(name string) *Workspace {
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return &s.Workspaces[i]
		}
	}
	return nil
}

// Link returns the link between two regions, or nil.
func (f *Fleet) Link(a, b string) *Link {
	if a > b {
		a, b = b, a
	}
	for i := range f.Links {
		if f.Links[i].A == a && f.Links[i].B == b {
			return &f.Links[i]
		}
	}
	return nil
}
