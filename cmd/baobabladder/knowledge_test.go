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

// fleet is a stand-in store and entry VMs as separate processes.
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

// startFleet spreads VMs over the regions, and in each over two data centres.
func startFleet(n int, regions ...string) *fleet {
	f := &fleet{storeAddress: freeAddress()}
	f.store = start(standin, "store", "--address", f.storeAddress)
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
		f.list(v.VM)
		v.process = start(product, "entry", "--settings", v.settings)
	}
	for _, v := range f.vms {
		Eventually(func() bool { return f.status(v).Ready && f.status(v).Fresh }, "30s").Should(BeTrue(), v.Name)
	}
	return f
}

// list puts a VM on the platform's list.
func (f *fleet) list(v vm.VM) {
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

// seconds returns the calls that the store counted, by second.
func (f *fleet) seconds() []standinstore.Second {
	response, err := http.Get("http://" + f.storeAddress + "/standin/calls")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var calls standinstore.Calls
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

// hasContact says whether a VM follows the store itself.
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

// operate runs an operator's command at a VM and returns its output.
func (f *fleet) operate(v *entryVM, code int, into any, args ...string) {
	session := start(product, append([]string{"--operator", "http://" + v.operatorAddress, "--output", "json"}, args...)...)
	Eventually(session, "30s").Should(gexec.Exit(code))
	if into != nil {
		Expect(json.Unmarshal(session.Out.Contents(), into)).To(Succeed())
	}
}

func (f *fleet) write(name, text string) string {
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

// ask sends a keyed request and returns the refusal's reason, or the status.
func (v *entryVM) ask(keyText string) string {
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

var _ = Describe("knowledge of entry VMs", func() {
	It("takes documents and keys in force everywhere, through an outage of the store, a freeze and restarts", func() {
		f := startFleet(3, "lothian")
		first, second, third := f.vms[0], f.vms[1], f.vms[2]
		endpointAddress := freeAddress()
		start(standin, "endpoint", "--address", endpointAddress, "--name", "catalogue-01")
		text := fmt.Sprintf(serviceText, endpointAddress)

		By("accepting a document, and refusing the loser of a race with the difference")
		var applied operator.ApplyResponse
		f.operate(first, 0, &applied, "apply", f.write("c.ini", text), "--based-on", "0")
		Expect(applied.Confirmed).To(Equal([]string{"entry-1", "entry-2", "entry-3"}))
		f.expectRevision(1, f.vms...)
		var failure operator.Failure
		f.operate(second, 1, &failure, "apply", f.write("c.ini", "# late\n"+text), "--based-on", "0")
		Expect(failure.CurrentRevision).To(BeEquivalentTo(1))
		Expect(failure.Difference).To(ContainElement("+# late"))
		f.operate(second, 2, nil, "check", f.write("c.ini", "[service]\n"))

		By("issuing two keys and withdrawing one, through different VMs")
		var kept, lost operator.IssueResponse
		f.operate(first, 0, &kept, "keys", "issue", "glen-herbs")
		f.operate(second, 0, &lost, "keys", "issue", "glen-herbs")
		for _, v := range f.vms {
			Eventually(func() string { return v.ask(kept.Text) }, "30s").Should(Equal("200 OK"))
			Eventually(func() string { return v.ask(lost.Text) }, "30s").Should(Equal("200 OK"))
		}
		var withdrawn operator.WithdrawResponse
		f.operate(third, 0, &withdrawn, "keys", "withdraw", lost.ID)
		for _, v := range f.vms {
			Expect(v.ask(lost.Text)).To(Equal("key_withdrawn"))
		}

		By("naming a frozen VM that has not confirmed")
		Expect(third.process.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		f.operate(first, 5, &applied, "apply", f.write("c.ini", "# while frozen\n"+text), "--based-on", "1")
		Expect(applied.Unconfirmed).To(Equal([]string{"entry-3"}))
		Expect(third.process.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		f.expectRevision(2, f.vms...)

		By("losing the store right after an accepted document")
		f.operate(second, 0, &applied, "apply", f.write("c.ini", "# second\n"+text), "--based-on", "2")
		f.store.Kill().Wait("10s")
		f.expectRevision(3, f.vms...)

		By("going on with keyed work while no VM reaches the store")
		for _, v := range f.vms {
			Consistently(func() string { return v.ask(kept.Text) }, freshness.MaxAge.Duration(), "100ms").Should(Equal("200 OK"), v.Name)
		}
		f.operate(first, 3, nil, "apply", f.write("c.ini", "# third\n"+text), "--based-on", "3")

		By("restarting a VM during the outage")
		third.process.Kill().Wait("10s")
		third.process = start(product, "entry", "--settings", third.settings)
		Eventually(func() bool { return f.status(third).Ready }, "30s").Should(BeTrue())
		f.expectRevision(3, third)
		Eventually(func() string { return third.ask(kept.Text) }, "30s").Should(Equal("200 OK"))
		Expect(third.ask(lost.Text)).To(Equal("key_withdrawn"))

		By("refusing keyed work after a freeze until there is word again")
		Expect(first.process.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		Eventually(func() string { return second.ask(kept.Text) }, "30s").Should(Equal("state_stale"))
		for _, v := range []*entryVM{second, third} {
			Expect(v.process.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		}
		Expect(first.process.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() string { return first.ask(kept.Text) }, "30s").Should(Equal("state_stale"))
		for _, v := range []*entryVM{second, third} {
			Expect(v.process.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		}
		for _, v := range f.vms {
			Eventually(func() string { return v.ask(kept.Text) }, "30s").Should(Equal("200 OK"))
		}

		By("stopping a VM as planned, and telling an unreachable one by its exit code")
		third.process.Terminate().Wait("30s")
		Expect(third.process).To(gexec.Exit(0))
		Consistently(func() string { return first.ask(kept.Text) }, (freshness.MaxAge + clock.Second).Duration(), "100ms").Should(Equal("200 OK"))
		f.operate(third, 3, nil, "status")

		By("withdrawing a key that the store can't write yet")
		f.operate(first, 4, &failure, "keys", "withdraw", kept.ID)
		Expect(failure.Confirmed).To(Equal([]string{"entry-1", "entry-2"}))
		Expect(first.ask(kept.Text)).To(Equal("key_withdrawn"))
		Expect(second.ask(kept.Text)).To(Equal("key_withdrawn"))
		f.operate(first, 2, nil, "apply")
	})

	It("keeps nine VMs at rest under twenty calls of the store a second, and sends no herd after an outage", func() {
		const settling, counted, limit, herd = 3, 10, 20, 100
		f := startFleet(9, "clyde", "grampian", "lothian")
		Eventually(func() int { return len(f.seconds()) }, "60s", "200ms").Should(BeNumerically(">", settling+counted))
		sum := 0
		for _, second := range f.seconds()[settling : settling+counted] {
			sum += second.Reads + second.Writes
		}
		Expect(sum).To(BeNumerically("<", limit*counted))

		f.setFaults(standinstore.Faults{Down: true})
		for _, v := range f.vms {
			Eventually(func() bool { return f.hasContact(v) }, "60s").Should(BeFalse(), v.Name)
		}
		before := len(f.seconds())
		f.setFaults(standinstore.Faults{})
		Eventually(func() int { return len(f.seconds()) }, "60s", "200ms").Should(BeNumerically(">", before+settling))
		for _, second := range f.seconds()[before-1:] {
			Expect(second.Reads + second.Writes).To(BeNumerically("<", herd))
		}
	})
})
