// Package routing holds the routing configuration that all VMs of a deployment
// share: which host and path go to which service, for whom, and within which
// limits. A Table is immutable; a newer one replaces it whole.
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
	// Version grows with each change, in uneven steps.
	Version uint64
	// Hosts maps a host name in lower case to its routes, the longest prefix first.
	Hosts    map[string][]*Route
	Services map[string]*Service
	// Workspaces is empty where no request needs a key.
	Workspaces map[string]*Workspace
	// Keys maps the digest of a key to its workspace.
	Keys   map[key.Digest]*Workspace
	Limits Limits
}

// Route says what becomes of the requests to one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Work   document.Work
	// Open routes need no key.
	Public bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout clock.Millis
	// Aim is the time within which an answer is worth its full price.
	TargetLatency clock.Millis
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Tries is on how many endpoints one request may be tried, at least 1.
	MaxAttempts int
	// Sticky says that endpoints serve an object faster that they served lately.
	Sticky bool
	// Homes lists the only regions that may serve the route; empty for all.
	HomeRegions []string
	// Targets has one entry or, for a split, several with weights above 0.
	Targets []Target
}

// Target is one service of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is what endpoints of one kind have in common.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections an endpoint takes of all callers.
	MaxConnections int
	// ColdStart is how long an endpoint is cold after its start.
	ColdDuration clock.Millis
	// ColdRate is how many requests a second a cold endpoint bears, from all VMs.
	ColdRate float64
}

// Workspace is one tenant.
type Workspace struct {
	Name string
	// Priority takes precedence over the route's, if HasPriority.
	Priority    int
	HasPriority bool
	// Rate and Burst limit its requests over all VMs; a rate of 0 is no limit.
	Rate  float64
	Burst float64
	// Homes lists the only regions that may serve it; empty for all.
	HomeRegions []string
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Match returns the route with the longest prefix of path on host, or nil. The
// host may name a port.
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

// SortRoutes puts each host's routes into the order that Match needs.
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

// IsRegionAllowed says whether a region may serve a route's requests of a workspace,
// which is nil on open routes.
func IsRegionAllowed(route *Route, workspace *Workspace, region string) bool {
	if len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, region) {
		return false
	}
	return workspace == nil || len(workspace.HomeRegions) == 0 || slices.Contains(workspace.HomeRegions, region)
}
