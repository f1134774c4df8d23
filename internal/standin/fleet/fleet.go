// Package fleet runs many entry VMs in one process over loopback sockets, with a
// stand-in for the store, and measures the cost of the control plane for each VM:
// CPU time, memory, traffic and calls to the store, when idle, for each changed
// document and after a restart. Runs with several fleet sizes give the growth rates
// in docs/CAPACITY.md.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/process"
	"baobabladder.example/baobabladder/internal/standin/loopback"
	"baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// dataCentresPerRegion is close to the ratio in the users' requirements: 93 data
	// centres in 28 regions.
	dataCentresPerRegion = 3
	// readyTimeout limits the wait for a set of entry VMs to become ready.
	// readyPollInterval is the interval at which they are probed.
	readyTimeout      = 60 * clock.Second
	readyPollInterval = 50 * clock.Millis(1)
)

var (
	errorNamespace = errorx.NewNamespace("fleet")
	errNotReady    = errorNamespace.NewType("not_ready")
)

// Fleet is a set of running entry VMs with the store that they share.
type Fleet struct {
	store    *store.Store
	storeURL string
	vms      []*entryVM
	// running counts the running processes, the store included.
	running sync.WaitGroup
	stopAll context.CancelFunc
	host    *loopback.Host
	// peerBytes and storeBytes count the bytes that all VMs exchange with peers and
	// with the store, in both directions.
	peerBytes, storeBytes atomic.Int64
}

// entryVM is an entry VM with its running process.
type entryVM struct {
	settings settings.Settings
	// cancel stops the VM's process; exited is closed when the process has exited.
	cancel context.CancelFunc
	exited chan struct{}
}

// Start starts the given number of entry VMs, spread over dataCentres data centres,
// and waits until all of them are ready.
func Start(ctx context.Context, vms, dataCentres int) (f *Fleet, err error) {
	defer fault.Annotate(&err, "starting %d entry VMs in %d data centres", vms, dataCentres)
	ctx, stopAll := context.WithCancel(ctx)
	f = &Fleet{store: store.New(), stopAll: stopAll, host: loopback.New()}
	if err := f.startStore(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	for i := range vms {
		vmSettings, err := f.newSettings(i, dataCentres)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.vms = append(f.vms, &entryVM{settings: vmSettings})
		f.store.PutVM(registeredVM(vmSettings))
	}
	for _, entry := range f.vms {
		f.startVM(ctx, entry)
	}
	if err := f.awaitReady(ctx, f.vms); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// Stop stops all VMs and the store and waits until they have exited.
func (f *Fleet) Stop() {
	for _, entry := range f.vms {
		if entry.cancel != nil {
			entry.cancel()
		}
	}
	f.stopAll()
	f.running.Wait()
}

// Client returns a client of the operator API of the first VM.
func (f *Fleet) Client() *operator.Client {
	return operator.NewClient([]string{"http://" + f.vms[0].settings.OperatorAddress + "/"})
}

func (f *Fleet) startStore(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.store.Handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	f.storeURL = "http://" + listener.Addr().String() + "/"
	f.running.Go(func() { _ = server.Serve(listener) })
	return nil
}

// newSettings returns the settings of the i-th VM. The name begins with the data
// centre's number, so that the VMs of a data centre are adjacent when sorted by name.
func (f *Fleet) newSettings(i, dataCentres int) (vmSettings settings.Settings, err error) {
	dataCentre := i % dataCentres
	vmSettings = settings.Settings{
		Name:       fmt.Sprintf("entry-%03d-%04d", dataCentre, i),
		Region:     fmt.Sprintf("region-%02d", dataCentre/dataCentresPerRegion),
		DataCentre: fmt.Sprintf("data-centre-%03d", dataCentre),
		Store:      f.storeURL,
		LogLevel:   "error",
	}
	for _, address := range []*string{&vmSettings.CallerAddress, &vmSettings.PeerAddress, &vmSettings.OperatorAddress} {
		if *address, err = f.host.UnusedAddress(); err != nil {
			return settings.Settings{}, err
		}
	}
	return vmSettings, nil
}

func registeredVM(vmSettings settings.Settings) vm.VM {
	return vm.VM{
		Name: vmSettings.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: vmSettings.Region, DataCentre: vmSettings.DataCentre,
		CallerAddress: vmSettings.CallerAddress, PeerAddress: vmSettings.PeerAddress,
	}
}

func (f *Fleet) startVM(ctx context.Context, entry *entryVM) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	ctx, entry.cancel = context.WithCancel(ctx)
	exited := make(chan struct{})
	entry.exited = exited
	entryProcess := &process.Process{Settings: entry.settings, Log: log, Dial: f.dial}
	f.running.Go(func() {
		defer close(exited)
		if err := entryProcess.Run(ctx); err != nil {
			logrus.WithError(err).Error("entry VM process exited with an error")
		}
	})
}

// dial opens a connection that counts its bytes in storeBytes if it goes to the
// store, and in peerBytes otherwise.
func (f *Fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counter := &f.peerBytes
	if strings.Contains(f.storeURL, address) {
		counter = &f.storeBytes
	}
	return &peer.CountingConn{Conn: conn, Bytes: counter}, nil
}

func (f *Fleet) awaitReady(ctx context.Context, vms []*entryVM) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	for _, entry := range vms {
		for !isReady(ctx, entry) {
			if clock.Sleep(ctx, readyPollInterval) != nil {
				return errNotReady.New("entry VM %s was not ready within %d ms", entry.settings.Name, readyTimeout)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, entry *entryVM) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.settings.OperatorAddress+"/-/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
