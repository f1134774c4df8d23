package trial

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"baobabladder.example/baobabladder/internal/standin/loopback"
)

// DataCentres maps the data centres of a trial to their regions.
var DataCentres = map[string]string{"mvd-a": "montevideo", "lit-a": "litoral", "est-a": "este"}

// MemoryMB is the memory of each VM, as in the site files of small deployments, unless a script
// sets Trial.MemoryMB.
const MemoryMB = 284

// readyTimeout is how long a VM may take to become ready.
const readyTimeout = 20 * time.Second

// VM is an entry VM, which is a process of the product.
type VM struct {
	Name string
	// CallerAddress is where callers connect.
	CallerAddress string

	trial        *Trial
	readyAddress string
	settingsPath string
	logPath      string

	mu sync.Mutex
	// command is the process that runs, or nil. Guarded by mu.
	command *exec.Cmd
	// ended is closed when the process has ended. Guarded by mu.
	ended chan struct{}
}

// StartVM starts a VM in a data centre.
func (t *Trial) StartVM(name, dataCentre string) (vm *VM, err error) {
	return t.startVM(name, dataCentre, nil)
}

// StartVM starts a VM whose links to the other VMs of the network can be cut.
func (n *Network) StartVM(name, dataCentre string) (vm *VM, err error) {
	return n.trial.startVM(name, dataCentre, n)
}

func (t *Trial) startVM(name, dataCentre string, network *Network) (vm *VM, err error) {
	host, addresses := loopback.New(), make([]string, len(addressKeys))
	for i := range addresses {
		if addresses[i], err = host.UnusedAddress(); err != nil {
			return nil, err
		}
	}
	vm = &VM{
		Name: name, CallerAddress: addresses[0], trial: t, readyAddress: addresses[1],
		settingsPath: t.Path(name + ".ini"), logPath: t.Path(name + ".log"),
	}
	store := t.StoreAddress
	if network != nil {
		network.mu.Lock()
		network.addresses[name] = []string{addresses[peerAddress], addresses[forwardAddress]}
		network.mu.Unlock()
		if store, err = network.storeAddress(name); err != nil {
			return nil, err
		}
	}
	if err := os.WriteFile(vm.settingsPath, []byte(settings(name, dataCentre, store, addresses, t.MemoryMB)), 0o600); err != nil {
		return nil, err
	}
	t.vms = append(t.vms, vm)
	return vm, vm.Start()
}

// addressKeys holds the keys of a VM's addresses in its settings, peerAddress and forwardAddress
// the places of two of them.
var addressKeys = []string{"caller_address", "ready_address", "lookup_address", "peer_address", "metrics_address", "forward_address"}

const (
	peerAddress    = 3
	forwardAddress = 5
)

// settings returns the settings file of a VM, as the project's template makes it.
func settings(name, dataCentre, store string, addresses []string, memoryMB int) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "[vm]\nname = %s\nregion = %s\ndata_centre = %s\nstore = %s\n", name, DataCentres[dataCentre], dataCentre, store)
	for i, key := range addressKeys {
		fmt.Fprintf(text, "%s = %s\n", key, addresses[i])
	}
	fmt.Fprintf(text, "peers = %s\nfirst_start = true\nmemory_mb = %d\n\n[data_centres]\n", addresses[peerAddress], memoryMB)
	for dataCentre, region := range DataCentres {
		fmt.Fprintf(text, "%s = %s\n", dataCentre, region)
	}
	text.WriteString("\n[bounds]\nstop_grace = 6s\nlookup_lifetime = 5s\nretry_ratio = 0.2\nretry_slack = 58\nretry_window = 10s\n" +
		"trial_share = 0.1\ntrial_slack = 50\ncold_overage = 1.5\ncold_slack = 5\n")
	return text.String()
}

// Start starts the process with the command of the deploy file.
func (v *VM) Start() error {
	log, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/baobabladder", "gateway")
	command.Env = append(os.Environ(), "BAOBABLADDER_NODE_FILE="+v.settingsPath)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.command, v.ended = command, ended
	return nil
}

// Kill ends the process with SIGKILL and waits until it has ended.
func (v *VM) Kill() {
	v.mu.Lock()
	command, ended := v.command, v.ended
	v.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// IsRunning reports whether the process runs.
func (v *VM) IsRunning() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
		return false
	default:
		return v.command != nil
	}
}

// Signal sends a signal to the process.
func (v *VM) Signal(signal syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.command.Process.Signal(signal)
}

// ResidentMB returns the memory that the process occupies.
func (v *VM) ResidentMB() int {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// AwaitReady waits until the VM says that it is ready.
func (v *VM) AwaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if v.IsReady() {
			return nil
		}
	}
	return errors.New(v.Name + " did not become ready")
}

// IsReady reports whether the VM answers the platform's check with 200.
func (v *VM) IsReady() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + v.readyAddress + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// LogLines returns how many lines of the VM's log hold the text.
func (v *VM) LogLines(text string) (count int) {
	log, _ := os.ReadFile(v.logPath)
	return strings.Count(string(log), text)
}
