// Package document reads the INI documents by which operators drive the system.
// There are two kinds. A service document states one team's routes, workspaces,
// limits, deadlines, drains and version moves. The fleet document states what
// all services share: regions, links and blocks of client addresses.
//
// A document is checked whole: Parse either returns a document with every value
// in range or an error naming section, key, value and what is allowed. Parsed
// documents are immutable and shared by readers without a lock.
package document

import (
	"net/netip"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// FleetName is the name of the one fleet document.
const FleetName = "fleet"

// Work says how a route's requests may be repeated.
type Work string

// The kinds of work.
const (
	// Catalogue requests are idempotent: a retry is harmless.
	WorkCatalogue Work = "catalogue"
	// Order requests run at most once and carry an order id.
	WorkOrder Work = "order"
	// Upload requests have large bodies that are streamed, never kept.
	WorkUpload Work = "upload"
)

// Document is one parsed document: exactly one of Service and Fleet is set.
type Document struct {
	Name    string
	Service *Service
	Fleet   *Fleet
}

// Service is what one team's document states. Slices are sorted by name, routes
// by falling length of their prefix, so that the first match is the longest.
type Service struct {
	Name string
	// Deadline bounds requests that state none; routes may override it.
	Deadline   clock.Millis
	Routes     []Route
	Workspaces []Workspace
	Endpoints  []Endpoint
	Drains     []Drain
	// Moves has at most one entry for each target version.
	Moves []Move
	// ShiftCap bounds the share of the service's traffic that may change region
	// or version in any second, in thousandths.
	ShiftCap int
}

// Route maps a path prefix to a kind of work.
type Route struct {
	// Prefix starts and ends with a slash.
	Prefix string
	Work   Work
	// Open routes need no key.
	Public   bool
	Deadline clock.Millis
	// MaxBody is the largest body accepted, in bytes.
	MaxBody int64
}

// Workspace is one tenant's limit within the service.
type Workspace struct {
	Name string
	// Rate is in thousandths of a request per second.
	Rate int64
	// Burst is in whole requests, at least 1.
	Burst int64
}

// Endpoint is one instance that serves requests.
type Endpoint struct {
	Name string
	// Address is host:port.
	Address    string
	Region     string
	DataCentre string
	Version    string
	// Slots is how many requests the endpoint runs at once, at least 1.
	Slots int
}

// DrainKind says what a drain empties.
type DrainKind string

// The kinds of drain.
const (
	DrainEndpoint   DrainKind = "endpoint"
	DrainDataCentre DrainKind = "data_centre"
	DrainRegion     DrainKind = "region"
)

// Drain asks that something gets no new work.
type Drain struct {
	Kind DrainKind
	// Name is the endpoint, data centre or region.
	Name string
}

// Move asks that traffic goes from one version to another.
type Move struct {
	From string
	To   string
	// By is the wall time, in Unix milliseconds, at which the move must be done.
	Deadline clock.Millis
	// Start is the wall time before which the new version gets no traffic.
	Start clock.Millis
	// SlowPercent is how much slower than the old version, at the 90th
	// percentile, the new one may be before it counts as bad.
	MaxSlowdownPercent int
}

// Fleet is what the fleet document states. Slices are sorted.
type Fleet struct {
	Regions      []Region
	Links        []Link
	ClientBlocks []ClientBlock
}

// Region is a place with data centres.
type Region struct {
	Name        string
	DataCentres []string
}

// Link is what a pair of regions shares, each way.
type Link struct {
	// A sorts before B.
	A, B string
	// Mbit is the capacity for the system's traffic each way, in Mbit/s.
	Mbit int
	// Latency is the round trip, in milliseconds.
	Latency clock.Millis
}

// ClientBlock maps a block of client addresses to the region nearest to it.
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
