// Package fleet runs many entry VMs in one process over loopback sockets, with a
// store stand-in, and measures what control costs each of them. Its figures are
// the slopes behind docs/CAPACITY.md.
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
	// dataCentresPerRegion is about the letter's 93 data centres in 28 regions.
	dataCentresPerRegion = 3
	startTimeout         = 60 * clock.Second
	pollInterval         = 50 * clock.Millis(1)
)

var (
	errorNamespace = errorx.NewNamespace("fleet")
	errNotReady    = errorNamespace.NewType("not_ready")
)

// Fleet is a number of entry VMs that run.
type Fleet struct {
	store    *store.Store
	storeURL string
	vms      []*entryVM
	running  sync.WaitGroup
	stopAll  context.CancelFunc
	host     *loopback.Host
	// peerBytes and storeBytes count both directions of all VMs' connections.
	peerBytes, storeBytes atomic.Int64
}

// entryVM is one entry VM.
type entryVM struct {
	settings settings.Settings
	// stop ends the run; ended closes after it.
	stop  context.CancelFunc
	ended chan struct{}
}

// Start runs vms entry VMs in dataCentres data centres and waits until all of
// them are ready.
func Start(ctx context.Context, vms, dataCentres int) (f *Fleet, err error) {
	defer fault.Annotate(&err, "starting %d entry VMs in %d data centres", vms, dataCentres)
	ctx, stopAll := context.WithCancel(ctx)
	f = &Fleet{store: store.New(), stopAll: stopAll, host: loopback.New()}
	if err := f.startStore(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	for i := range vms {
		read, err := f.settings(i, dataCentres)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.vms = append(f.vms, &entryVM{settings: read})
		f.store.PutVM(listed(read))
	}
	for _, v := range f.vms {
		f.startVM(ctx, v)
	}
	if err := f.awaitReady(ctx, f.vms); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// Stop ends all VMs and waits for them.
func (f *Fleet) Stop() {
	for _, v := range f.vms {
		if v.stop != nil {
			v.stop()
		}
	}
	f.stopAll()
	f.running.Wait()
}

// Client returns an operators' client of the first VM.
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

// settings places the VMs of one data centre next to each other in the list.
func (f *Fleet) settings(i, dataCentres int) (read settings.Settings, err error) {
	dataCentre := i % dataCentres
	read = settings.Settings{
		Name:       fmt.Sprintf("entry-%03d-%04d", dataCentre, i),
		Region:     fmt.Sprintf("region-%02d", dataCentre/dataCentresPerRegion),
		DataCentre: fmt.Sprintf("data-centre-%03d", dataCentre),
		Store:      f.storeURL,
		LogLevel:   "error",
	}
	for _, address := range []*string{&read.CallerAddress, &read.PeerAddress, &read.OperatorAddress} {
		if *address, err = f.host.UnusedAddress(); err != nil {
			return settings.Settings{}, err
		}
	}
	return read, nil
}

func listed(read settings.Settings) vm.VM {
	return vm.VM{
		Name: read.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: read.Region, DataCentre: read.DataCentre,
		CallerAddress: read.CallerAddress, PeerAddress: read.PeerAddress,
	}
}

func (f *Fleet) startVM(ctx context.Context, v *entryVM) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	ctx, v.stop = context.WithCancel(ctx)
	ended := make(chan struct{})
	v.ended = ended
	run := &process.Process{Settings: v.settings, Log: log, Dial: f.dial}
	f.running.Go(func() {
		defer close(ended)
		if err := run.Run(ctx); err != nil {
			logrus.WithError(err).Error("an entry VM failed")
		}
	})
}

// dial opens a connection whose bytes are counted.
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
	ctx, cancel := context.WithTimeout(ctx, startTimeout.Duration())
	defer cancel()
	for _, v := range vms {
		for !isReady(ctx, v) {
			if clock.Sleep(ctx, pollInterval) != nil {
				return errNotReady.New("%s was not ready within %d ms", v.settings.Name, startTimeout)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, v *entryVM) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.settings.OperatorAddress+"/-/ready", nil)
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
