package caller

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Paths that the VM answers itself.
const (
	ownPrefix    = "/-/"
	EntryVMsPath = ownPrefix + "entry-vms"
	LivePath     = ownPrefix + "live"
	ReadyPath    = ownPrefix + "ready"
)

const (
	defaultLifetime = 30 * clock.Second
	readyRetry      = 1 * clock.Second
)

// VMRanker ranks entry VMs for a caller's address. VMs that are stopping or can't be
// reached are not among them.
type VMRanker interface {
	Lookup(address netip.Addr) []vm.VM
}

// EntryVM is an entry VM as callers see it.
type EntryVM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// EntryVMs is the answer of EntryVMsPath.
type EntryVMs struct {
	// VMs is in the order in which the caller should try them.
	VMs []EntryVM `json:"vms"`
	// LifetimeMs is how long the caller may keep the answer.
	LifetimeMs clock.Millis `json:"lifetime_ms"`
}

// serveOwn answers the VM's own paths.
func (s *Server) serveOwn(w http.ResponseWriter, request *http.Request) error {
	if request.Method != http.MethodGet && request.Method != http.MethodHead {
		return reason.NotRun(reason.BadRequest, 0, "only GET is allowed here")
	}
	switch request.URL.Path {
	case EntryVMsPath:
		return s.serveVMs(w, request)
	case LivePath:
		_, _ = w.Write([]byte("live\n"))
		return nil
	case ReadyPath:
		if s.stopping() {
			return reason.NotRun(reason.Stopping, readyRetry, "this VM is stopping")
		}
		if s.Ready != nil && !s.Ready() {
			return reason.NotRun(reason.NotReady, readyRetry, "this VM does not serve yet")
		}
		_, _ = w.Write([]byte("ready\n"))
		return nil
	}
	return reason.NotRun(reason.RouteUnknown, 0, "no such path")
}

func (s *Server) serveVMs(w http.ResponseWriter, request *http.Request) error {
	answer := EntryVMs{VMs: []EntryVM{}, LifetimeMs: s.ListLifetime}
	if answer.LifetimeMs == 0 {
		answer.LifetimeMs = defaultLifetime
	}
	address, err := s.callerAddress(request)
	if err != nil {
		return err
	}
	if s.VMs != nil {
		for _, listed := range s.VMs.Lookup(address) {
			answer.VMs = append(answer.VMs, EntryVM{listed.Name, listed.CallerAddress, listed.Region, listed.DataCentre})
		}
	}
	if len(answer.VMs) == 0 {
		return reason.NotRun(reason.NotReady, readyRetry, "no entry VM is known yet")
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(answer)
}

// callerAddress returns the address that VMs are ranked for.
func (s *Server) callerAddress(request *http.Request) (netip.Addr, error) {
	if asked := request.URL.Query().Get("address"); asked != "" && s.TrustAddressParameter {
		address, err := netip.ParseAddr(asked)
		if err != nil {
			return netip.Addr{}, reason.NotRun(reason.BadRequest, 0, "the query's address must be an IP number")
		}
		return address, nil
	}
	remote, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		return netip.Addr{}, nil
	}
	return remote.Addr().Unmap(), nil
}
