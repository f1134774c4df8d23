// Package firm runs one firm of package examples in one process over loopback
// sockets: the store's stand-in, all endpoints, all entry VMs, and the network
// between the regions. The demo and the measure share it.
package firm

import (
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/standin/loopback"
	"baobabladder.example/baobabladder/internal/standin/store"
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// startTimeout bounds the time until every entry VM serves.
	startTimeout = 15 * clock.Second
	endTimeout   = 5 * clock.Second
	pollInterval = 20 * clock.Millis(1)

	maxConnections = 330
	connectionCost = 1 * clock.Millis(1)
)

// Config is what to start.
type Config struct {
	// Name is a name of package examples.
	Name string
	// Log receives the entry VMs' logs.
	Log logrus.FieldLogger
	// Edit, if set, changes the text of each document before it is read.
	EditDocument func(text string) string
	// Shape, if set, changes an endpoint before it serves.
	ConfigureEndpoint func(owner *document.Service, made *endpoint.Endpoint)
	// Near leaves out the delays and limits of the network.
	NoNetworkDelays bool
	// Serve, if set, runs in the place of each entry VM's process.
	ServeEntryVM func(ctx context.Context, firm *Firm, read settings.Settings) error
}

// Firm is everything that runs.
type Firm struct {
	Config
	Network  *link.Network
	Store    *store.Store
	Fleet    *document.Fleet
	Services []*Service
	// Endpoints holds the stand-ins by name. While a version may be added, read it
	// through Endpoint.
	Endpoints map[string]*endpoint.Endpoint
	EntryVMs  []*EntryVM
	// Keys has one key for each workspace, in the documents' order.
	Keys []Key

	// listed is what callers may be told of the entry VMs; it is set before they start.
	listed []wireCaller.EntryVM
	// documents are the services in force, for Documents.
	documents atomic.Pointer[[]*document.Service]
	mu        sync.RWMutex
	client    *wire.Client
	storeURL  string
	running   sync.WaitGroup
	// stopAll ends everything that runs.
	stopAll context.CancelFunc
}

// Service is a service's document in force, as text and parsed.
type Service struct {
	*document.Service
	Text     string
	Revision int64
}

// storePlaces is where each firm's store runs.
var storePlaces = map[string]link.Location{
	examples.MunroLennox: {VM: "store", Region: "lothian", DataCentre: "lothian-1"},
	examples.TresTintas:  {VM: "store", Region: "montevideo", DataCentre: "montevideo-1"},
}

// Start starts all parts of a firm. Every address of the example's files is
// replaced by a free one, so that runs side by side don't collide.
func Start(ctx context.Context, plan Config) (f *Firm, err error) {
	defer fault.Annotate(&err, "starting firm %s", plan.Name)
	example, err := examples.Load(plan.Name)
	if err != nil {
		return nil, err
	}
	ctx, stopAll := context.WithCancel(ctx)
	f = &Firm{Config: plan, Network: &link.Network{}, Store: store.New(), Endpoints: map[string]*endpoint.Endpoint{}, stopAll: stopAll}
	started := f
	defer func() {
		// A failed start returns no firm, but what it has started must end.
		if err != nil {
			started.Stop()
		}
	}()
	if err := f.startStore(ctx); err != nil {
		return nil, err
	}
	for _, text := range example.Documents {
		if err := f.addDocument(ctx, text); err != nil {
			return nil, err
		}
	}
	if err := f.addEntries(ctx, example.Settings); err != nil {
		return nil, err
	}
	if err := f.awaitReady(ctx, startTimeout); err != nil {
		return nil, err
	}
	return f, f.issueKeys(ctx)
}

// Endpoint returns the stand-in of the given name.
func (f *Firm) Endpoint(name string) *endpoint.Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.Endpoints[name]
}

// NewUnstarted returns a firm of one service and one endpoint that runs nothing, for
// arithmetic on its documents.
func NewUnstarted(fleet *document.Fleet, service *document.Service, made *endpoint.Endpoint) *Firm {
	f := &Firm{Network: &link.Network{}, Fleet: fleet, Services: []*Service{{Service: service}}}
	f.Endpoints = map[string]*endpoint.Endpoint{service.Endpoints[0].Name: made}
	f.noteDocuments()
	return f
}

// Stop ends everything and waits for it, but not for ever: a part that does not
// end is logged.
func (f *Firm) Stop() {
	f.Network.HealAll()
	f.stopAll()
	ended := make(chan struct{})
	go func() {
		f.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-After(context.Background(), endTimeout):
		f.Log.Error("a part of the firm did not end")
	}
}

// After returns a channel that closes after d or with ctx.
func After(ctx context.Context, d clock.Millis) <-chan struct{} {
	passed := make(chan struct{})
	go func() {
		defer close(passed)
		_ = clock.Sleep(ctx, d)
	}()
	return passed
}

// start runs a part until the end of the firm.
func (f *Firm) start(name string, run func() error) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		if err := run(); err != nil {
			f.Log.WithError(err).Errorf("%s ended", name)
		}
	}()
}

func (f *Firm) startStore(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.Store.Handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	f.start("the store", func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	f.storeURL = "http://" + listener.Addr().String() + "/"
	f.Network.SetLocation(listener.Addr().String(), storePlaces[f.Name])
	f.client = wire.New(f.storeURL)
	return nil
}

var (
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	// placePattern matches settings that name other processes than the VM's own.
	placePattern = regexp.MustCompile(`(?m)^(store|peers) = .*$`)
)

// addDocument starts a document's endpoints and writes it to the store.
func (f *Firm) addDocument(ctx context.Context, text string) error {
	listeners := listeners{}
	text, err := replaceAddresses(text, listeners.open)
	if err != nil {
		return err
	}
	if f.EditDocument != nil {
		text = f.EditDocument(text)
	}
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		return err
	}
	if parsed.Fleet != nil {
		f.setFleet(parsed.Fleet)
		return f.write(ctx, parsed.Name, text)
	}
	added := &Service{Service: parsed.Service, Text: text, Revision: 1}
	f.Services = append(f.Services, added)
	for i := range parsed.Service.Endpoints {
		declared := &parsed.Service.Endpoints[i]
		f.StartEndpoint(ctx, added, declared, listeners[declared.Address])
	}
	return f.write(ctx, parsed.Name, text)
}

// replaceAddresses puts a free address in place of each address in text.
func replaceAddresses(text string, free func() (string, error)) (replaced string, err error) {
	replaced = addressPattern.ReplaceAllStringFunc(text, func(old string) string {
		address, e := free()
		if e != nil {
			err = e
			return old
		}
		return address
	})
	return replaced, err
}

// listeners holds open listeners by address.
type listeners map[string]net.Listener

// open opens a listener and returns its address.
func (l listeners) open() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l[listener.Addr().String()] = listener
	return listener.Addr().String(), nil
}

func (f *Firm) setFleet(fleet *document.Fleet) {
	f.Fleet = fleet
	if f.NoNetworkDelays {
		return
	}
	f.Network.Fleet = fleet
	f.Network.DataCentreRoundTripMicros = 1000
	f.Network.ClientRoundTripMicros = 1000
	if f.Name == examples.TresTintas {
		f.Network.DataCentreRoundTripMicros = 1500
		f.Network.ClientRoundTripMicros = 3000
	}
}

// StartEndpoint starts the stand-in of a declared endpoint.
func (f *Firm) StartEndpoint(ctx context.Context, owner *Service, declared *document.Endpoint, listener net.Listener) {
	made := &endpoint.Endpoint{
		Name: declared.Name, Version: declared.Version, Slots: declared.Slots, Seed: uint64(len(f.Endpoints)),
		MaxConnections: maxConnections, AcceptDelay: connectionCost,
	}
	if f.ConfigureEndpoint != nil {
		f.ConfigureEndpoint(owner.Service, made)
	}
	f.mu.Lock()
	f.Endpoints[declared.Name] = made
	f.mu.Unlock()
	f.Network.SetLocation(declared.Address, link.Location{VM: declared.Name, Region: declared.Region, DataCentre: declared.DataCentre})
	f.Store.PutVM(vm.VM{Name: declared.Name, Role: vm.RoleEndpoint, State: vm.StateLive, Region: declared.Region, DataCentre: declared.DataCentre})
	f.start(declared.Name, func() error { return made.Serve(ctx, listener) })
}

// addEntries starts all entry VMs.
func (f *Firm) addEntries(ctx context.Context, texts []string) error {
	host := loopback.New()
	var all []settings.Settings
	for _, text := range texts {
		text, err := replaceAddresses(placePattern.ReplaceAllString(text, ""), host.UnusedAddress)
		if err != nil {
			return err
		}
		read, err := settings.Parse([]byte(text + "store = " + f.storeURL + "\n"))
		if err != nil {
			return err
		}
		if len(all) > 0 {
			read.Peers = []string{all[0].PeerAddress}
		}
		all = append(all, read)
	}
	for _, read := range all {
		f.listed = append(f.listed, wireCaller.EntryVM{Name: read.Name, Address: read.CallerAddress, Region: read.Region, DataCentre: read.DataCentre})
	}
	f.noteDocuments()
	for _, read := range all {
		f.EntryVMs = append(f.EntryVMs, f.StartEntryVM(ctx, read))
	}
	return nil
}

// AdvertisedEntryVMs returns all entry VMs as callers may be told of them.
func (f *Firm) AdvertisedEntryVMs() []wireCaller.EntryVM { return f.listed }

// CurrentServices returns the services in force.
func (f *Firm) CurrentServices() []*document.Service { return *f.documents.Load() }

func (f *Firm) noteDocuments() {
	var services []*document.Service
	for _, service := range f.Services {
		services = append(services, service.Service)
	}
	f.documents.Store(&services)
}

// awaitReady waits until each entry VM answers an open look-up.
func (f *Firm) awaitReady(ctx context.Context, timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	_, route := f.Route(document.WorkCatalogue, true)
	for _, entry := range f.EntryVMs {
		for {
			answer, err := get(ctx, "http://"+entry.Settings.CallerAddress+route.Prefix+"ready")
			if err == nil && answer.StatusCode == http.StatusOK {
				break
			}
			if clock.Sleep(ctx, pollInterval) != nil {
				return errorx.TimeoutElapsed.New("%s does not serve after %d ms", entry.Settings.Name, timeout)
			}
		}
	}
	return nil
}

// get reads a whole answer over a connection of its own.
func get(ctx context.Context, url string) (answer *http.Response, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Close = true
	answer, err = http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer, err
}
