package caller

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Paths that the VM serves itself.
const (
	internalPrefix = "/-/"
	EntryVMsPath   = internalPrefix + "entry-vms"
	LivePath       = internalPrefix + "live"
	ReadyPath      = internalPrefix + "ready"
)

const (
	// defaultListLifetime is how long callers may cache the list of entry VMs.
	defaultListLifetime = 30 * clock.Second
	// readyRetryAfter is the Retry-After of a VM that is not ready or is stopping.
	readyRetryAfter = 1 * clock.Second
)

// VMRanker ranks entry VMs for a caller's address. Lookup returns the best VM first and
// omits VMs that are stopping or unreachable.
type VMRanker interface {
	Lookup(address netip.Addr) []vm.VM
}

// EntryVM describes an entry VM to callers.
type EntryVM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// EntryVMs is the JSON response of EntryVMsPath.
type EntryVMs struct {
	// VMs is in the order in which the caller should try them.
	VMs []EntryVM `json:"vms"`
	// LifetimeMs is how long the caller may cache the response, in milliseconds.
	LifetimeMs clock.Millis `json:"lifetime_ms"`
}

// serveInternal serves the paths below internalPrefix.
func (s *Server) serveInternal(w http.ResponseWriter, request *http.Request) error {
	if request.Method != http.MethodGet && request.Method != http.MethodHead {
		return reason.NotRun(reason.BadRequest, 0, "only GET is allowed here")
	}
	switch request.URL.Path {
	case EntryVMsPath:
		return s.serveEntryVMs(w, request)
	case LivePath:
		_, _ = w.Write([]byte("live\n"))
		return nil
	case ReadyPath:
		if s.isShuttingDown() {
			return reason.NotRun(reason.Stopping, readyRetryAfter, "this VM is stopping")
		}
		if s.Ready != nil && !s.Ready() {
			return reason.NotRun(reason.NotReady, readyRetryAfter, "this VM does not serve yet")
		}
		_, _ = w.Write([]byte("ready\n"))
		return nil
	}
	return reason.NotRun(reason.RouteUnknown, 0, "no such path")
}

// serveEntryVMs writes the entry VMs ranked for the caller's address.
func (s *Server) serveEntryVMs(w http.ResponseWriter, request *http.Request) error {
	response := EntryVMs{VMs: []EntryVM{}, LifetimeMs: s.ListLifetime}
	if response.LifetimeMs == 0 {
		response.LifetimeMs = defaultListLifetime
	}
	address, err := s.callerAddress(request)
	if err != nil {
		return err
	}
	if s.VMs != nil {
		for _, entry := range s.VMs.Lookup(address) {
			response.VMs = append(response.VMs, EntryVM{entry.Name, entry.CallerAddress, entry.Region, entry.DataCentre})
		}
	}
	if len(response.VMs) == 0 {
		return reason.NotRun(reason.NotReady, readyRetryAfter, "no entry VM is known yet")
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}

// callerAddress returns the address for which entry VMs are ranked.
func (s *Server) callerAddress(request *http.Request) (netip.Addr, error) {
	if parameter := request.URL.Query().Get("address"); parameter != "" && s.TrustAddressParameter {
		address, err := netip.ParseAddr(parameter)
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
