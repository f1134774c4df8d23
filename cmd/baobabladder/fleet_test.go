package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/freshness"
	standinstore "baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// fleet is a stand-in store and entry VMs, each in a separate process.
type fleet struct {
	storeAddress string
	store        *gexec.Session
	vms          []*entryVM
}

type entryVM struct {
	vm.VM
	operatorAddress string
	settings        string
	process         *gexec.Session
}

// startFleet starts the store and n VMs, distributed over the regions and over two data
// centres in each, and waits until they are ready.
func startFleet(n int, regions ...string) *fleet {
	f := &fleet{storeAddress: freeAddress()}
	f.store = start(standinPath, "store", "--address", f.storeAddress)
	var peers []string
	for i := range n {
		name := fmt.Sprintf("entry-%d", i+1)
		region := regions[i%len(regions)]
		dataCentre := fmt.Sprintf("%s-%d", region, i/len(regions)%2+1)
		f.vms = append(f.vms, &entryVM{
			VM: vm.VM{
				Name: name, Role: vm.RoleEntry, State: vm.StateLive, Region: region, DataCentre: dataCentre,
				CallerAddress: freeAddress(), PeerAddress: freeAddress(),
			},
			operatorAddress: freeAddress(),
		})
		peers = append(peers, f.vms[i].PeerAddress)
	}
	for _, v := range f.vms {
		v.settings = filepath.Join(GinkgoT().TempDir(), v.Name+".ini")
		Expect(os.WriteFile(v.settings, []byte(fmt.Sprintf(
			"[vm]\nname = %s\nregion = %s\ndata_centre = %s\nstore = http://%s/\ncaller_address = %s\npeer_address = %s\noperator_address = %s\npeers = %s\n",
			v.Name, v.Region, v.DataCentre, f.storeAddress, v.CallerAddress, v.PeerAddress, v.operatorAddress, strings.Join(peers, ", "))), 0o600)).To(Succeed())
		f.listVM(v.VM)
		v.process = start(productPath, "entry", "--settings", v.settings)
	}
	for _, v := range f.vms {
		Eventually(func() bool { return f.status(v).Ready && f.status(v).Fresh }, "30s").Should(BeTrue(), v.Name)
	}
	return f
}

// listVM adds a VM to the platform's list of VMs, or replaces it there.
func (f *fleet) listVM(v vm.VM) {
	text, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() error {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.storeAddress+"/standin/vms/"+v.Name, bytes.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}, "30s").Should(Succeed())
}

// storeCalls returns the store's counts of calls, by second.
func (f *fleet) storeCalls() []standinstore.SecondCounts {
	response, err := http.Get("http://" + f.storeAddress + "/standin/calls")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var calls standinstore.CallCounts
	Expect(json.NewDecoder(response.Body).Decode(&calls)).To(Succeed())
	return calls.Seconds
}

func (f *fleet) setFaults(faults standinstore.Faults) {
	text, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+f.storeAddress+"/standin/faults", bytes.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// hasContact reports whether a VM is itself in contact with the store.
func (f *fleet) hasContact(v *entryVM) bool {
	for _, member := range f.status(v).Members {
		if member.Name == v.Name {
			return member.HasContact
		}
	}
	return false
}

func (f *fleet) status(v *entryVM) (status operator.Status) {
	response, err := http.Get("http://" + v.operatorAddress + "/v1/status")
	if err != nil {
		return operator.Status{}
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

// runOperator runs an operator's command against a VM, expects the exit code, and decodes
// the JSON output into a value unless that is nil.
func (f *fleet) runOperator(v *entryVM, exitCode int, into any, args ...string) {
	session := start(productPath, append([]string{"--operator", "http://" + v.operatorAddress, "--output", "json"}, args...)...)
	Eventually(session, "30s").Should(gexec.Exit(exitCode))
	if into != nil {
		Expect(json.Unmarshal(session.Out.Contents(), into)).To(Succeed())
	}
}

func (f *fleet) writeFile(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (f *fleet) expectRevision(revision int64, vms ...*entryVM) {
	for _, v := range vms {
		Eventually(func() []operator.DocumentStatus { return f.status(v).Documents }, "30s").
			Should(ContainElement(operator.DocumentStatus{Name: "catalogue", Revision: revision}), v.Name)
	}
}

// sendKeyed sends a request with a key and returns the refusal's reason, or the status.
func (v *entryVM) sendKeyed(keyText string) string {
	request, err := http.NewRequest(http.MethodGet, "http://"+v.CallerAddress+"/catalogue/thyme", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+keyText)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if reason := response.Header.Get("Refusal-Reason"); reason != "" {
		return reason
	}
	return response.Status
}

var _ = Describe("the configuration of entry VMs", func() {
	It("comes into force on all VMs, through an outage of the store, frozen VMs and restarts", func() {
		f := startFleet(3, "lothian")
		first, second, third := f.vms[0], f.vms[1], f.vms[2]
		endpointAddress := freeAddress()
		start(standinPath, "endpoint", "--address", endpointAddress, "--name", "catalogue-01")
		text := fmt.Sprintf(serviceText, endpointAddress)

		By("accepting a document, and refusing a concurrent change with the difference")
		var applied operator.ApplyResponse
		f.runOperator(first, 0, &applied, "apply", f.writeFile("c.ini", text), "--based-on", "0")
		Expect(applied.Confirmed).To(Equal([]string{"entry-1", "entry-2", "entry-3"}))
		f.expectRevision(1, f.vms...)
		var failure operator.Failure
		f.runOperator(second, 1, &failure, "apply", f.writeFile("c.ini", "# late\n"+text), "--based-on", "0")
		Expect(failure.CurrentRevision).To(BeEquivalentTo(1))
		Expect(failure.Difference).To(ContainElement("+# late"))
		f.runOperator(second, 2, nil, "check", f.writeFile("c.ini", "[service]\n"))

		By("issuing two keys and withdrawing one, through different VMs")
		var keptKey, withdrawnKey operator.IssueResponse
		f.runOperator(first, 0, &keptKey, "keys", "issue", "glen-herbs")
		f.runOperator(second, 0, &withdrawnKey, "keys", "issue", "glen-herbs")
		for _, v := range f.vms {
			Eventually(func() string { return v.sendKeyed(keptKey.Text) }, "30s").Should(Equal("200 OK"))
			Eventually(func() string { return v.sendKeyed(withdrawnKey.Text) }, "30s").Should(Equal("200 OK"))
		}
		var withdrawn operator.WithdrawResponse
		f.runOperator(third, 0, &withdrawn, "keys", "withdraw", withdrawnKey.ID)
		for _, v := range f.vms {
			Expect(v.sendKeyed(withdrawnKey.Text)).To(Equal("key_withdrawn"))
		}

		By("reporting a frozen VM as unconfirmed")
		Expect(third.process.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		f.runOperator(first, 5, &applied, "apply", f.writeFile("c.ini", "# while frozen\n"+text), "--based-on", "1")
		Expect(applied.Unconfirmed).To(Equal([]string{"entry-3"}))
		Expect(third.process.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		f.expectRevision(2, f.vms...)

		By("stopping the store right after a document was accepted")
		f.runOperator(second, 0, &applied, "apply", f.writeFile("c.ini", "# second\n"+text), "--based-on", "2")
		f.store.Kill().Wait("10s")
		f.expectRevision(3, f.vms...)

		By("serving requests with keys while no VM reaches the store")
		for _, v := range f.vms {
			Consistently(func() string { return v.sendKeyed(keptKey.Text) }, freshness.MaxAge.Duration(), "100ms").Should(Equal("200 OK"), v.Name)
		}
		f.runOperator(first, 3, nil, "apply", f.writeFile("c.ini", "# third\n"+text), "--based-on", "3")

		By("restarting a VM during the outage")
		third.process.Kill().Wait("10s")
		third.process = start(productPath, "entry", "--settings", third.settings)
		Eventually(func() bool { return f.status(third).Ready }, "30s").Should(BeTrue())
		f.expectRevision(3, third)
		Eventually(func() string { return third.sendKeyed(keptKey.Text) }, "30s").Should(Equal("200 OK"))
		Expect(third.sendKeyed(withdrawnKey.Text)).To(Equal("key_withdrawn"))

		By("refusing requests with keys while a peer is frozen, until the VMs reach each other again")
		Expect(first.process.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		Eventually(func() string { return second.sendKeyed(keptKey.Text) }, "30s").Should(Equal("state_stale"))
		for _, v := range []*entryVM{second, third} {
			Expect(v.process.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		}
		Expect(first.process.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() string { return first.sendKeyed(keptKey.Text) }, "30s").Should(Equal("state_stale"))
		for _, v := range []*entryVM{second, third} {
			Expect(v.process.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		}
		for _, v := range f.vms {
			Eventually(func() string { return v.sendKeyed(keptKey.Text) }, "30s").Should(Equal("200 OK"))
		}

		By("shutting a VM down, and returning the exit code for an unreachable VM")
		third.process.Terminate().Wait("30s")
		Expect(third.process).To(gexec.Exit(0))
		Consistently(func() string { return first.sendKeyed(keptKey.Text) }, (freshness.MaxAge + clock.Second).Duration(), "100ms").Should(Equal("200 OK"))
		f.runOperator(third, 3, nil, "status")

		By("withdrawing a key while the store cannot be written")
		f.runOperator(first, 4, &failure, "keys", "withdraw", keptKey.ID)
		Expect(failure.Confirmed).To(Equal([]string{"entry-1", "entry-2"}))
		Expect(first.sendKeyed(keptKey.Text)).To(Equal("key_withdrawn"))
		Expect(second.sendKeyed(keptKey.Text)).To(Equal("key_withdrawn"))
		f.runOperator(first, 2, nil, "apply")
	})

	It("causes fewer than 20 store calls per second from nine idle VMs, and no thundering herd after an outage", func() {
		const settleSeconds, countedSeconds, maxCallsPerSecond, maxRecoveryCalls = 3, 10, 20, 100
		f := startFleet(9, "clyde", "grampian", "lothian")
		Eventually(func() int { return len(f.storeCalls()) }, "60s", "200ms").Should(BeNumerically(">", settleSeconds+countedSeconds))
		sum := 0
		for _, second := range f.storeCalls()[settleSeconds : settleSeconds+countedSeconds] {
			sum += second.Reads + second.Writes
		}
		Expect(sum).To(BeNumerically("<", maxCallsPerSecond*countedSeconds))

		f.setFaults(standinstore.Faults{Unavailable: true})
		for _, v := range f.vms {
			Eventually(func() bool { return f.hasContact(v) }, "60s").Should(BeFalse(), v.Name)
		}
		before := len(f.storeCalls())
		f.setFaults(standinstore.Faults{})
		Eventually(func() int { return len(f.storeCalls()) }, "60s", "200ms").Should(BeNumerically(">", before+settleSeconds))
		for _, second := range f.storeCalls()[before-1:] {
			Expect(second.Reads + second.Writes).To(BeNumerically("<", maxRecoveryCalls))
		}
	})
})
