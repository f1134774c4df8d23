// Package routing holds the routing configuration that all VMs of a deployment
// share: it assigns hosts and paths to services, and states which workspaces
// may use them, with which keys and limits. A Table is immutable after
// SortRoutes and is replaced as a whole.
package routing

import (
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/key"
)

// Table is one version of the routing configuration.
type Table struct {
	// Version increases with each change, not necessarily by 1.
	Version uint64
	// Hosts holds the routes of each host name in lower case, longest prefix
	// first.
	Hosts    map[string][]*Route
	Services map[string]*Service
	// Workspaces is empty if no request needs an API key.
	Workspaces map[string]*Workspace
	// Keys maps the digest of an API key to its workspace.
	Keys   map[key.Digest]*Workspace
	Limits Limits
}

// Route configures the requests to one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Work   document.Work
	// Public reports whether requests need no API key.
	Public bool
	// Timeout is the longest time that a request may take.
	Timeout clock.Millis
	// TargetLatency is the latency up to which the platform gives full credit for a
	// response.
	TargetLatency clock.Millis
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of endpoints that one request may be sent
	// to, at least 1.
	MaxAttempts int
	// Sticky reports whether endpoints serve an object faster if they served it
	// recently, so that requests for one object should go to the same endpoint.
	Sticky bool
	// HomeRegions lists the regions that may serve the route. If it is empty, all
	// regions may.
	HomeRegions []string
	// Targets has one entry or, for a split, several entries with weights above
	// 0.
	Targets []Target
}

// Target is a service that receives a share of a route's requests, in
// proportion to Weight.
type Target struct {
	Service string
	Weight  int
}

// Service holds the properties that all endpoints of a service share.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts from
	// all callers together.
	MaxConnections int
	// ColdDuration is the warm-up time of an endpoint after its start.
	ColdDuration clock.Millis
	// ColdRate is the number of requests per second, from all VMs together, that
	// an endpoint can serve during its warm-up.
	ColdRate float64
}

// Workspace holds the priority, limits and home regions of one workspace. Its
// API keys are in Table.Keys.
type Workspace struct {
	Name string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, in requests per second, and Burst, in requests, limit the workspace's
	// requests over all VMs. A rate of 0 is no limit.
	Rate  float64
	Burst float64
	// HomeRegions lists the regions that may serve the workspace. If it is empty,
	// all regions may.
	HomeRegions []string
}

// HasRateLimit reports whether the workspace has a limit of its rate. A nil workspace has
// none.
func (w *Workspace) HasRateLimit() bool { return w != nil && w.Rate > 0 }

// Limits bound the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Match returns the route of host with the longest prefix of path, or nil. It
// ignores a port in host.
func (t *Table) Match(host, path string) *Route {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	for _, route := range t.Hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// SortRoutes sorts each host's routes into the order that Match needs.
func (t *Table) SortRoutes() {
	for _, routes := range t.Hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			if len(a.Prefix) != len(b.Prefix) {
				return len(b.Prefix) - len(a.Prefix)
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
}

// IsRegionAllowed reports whether a region may serve a route's requests of a
// workspace. The workspace is nil on public routes.
func IsRegionAllowed(route *Route, workspace *Workspace, region string) bool {
	if len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, region) {
		return false
	}
	return workspace == nil || len(workspace.HomeRegions) == 0 || slices.Contains(workspace.HomeRegions, region)
}
