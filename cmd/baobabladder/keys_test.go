package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/freshness"
	standinstore "baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
)

// misplacedKeyRequests returns requests that carry the key outside of the Authorization
// header.
func misplacedKeyRequests(keyText string) []*sentRequest {
	encoded := strings.Replace(keyText, "bbk_", "%62%62%6B%5F", 1)
	get := func(path string, header map[string]string) *sentRequest {
		return &sentRequest{method: http.MethodGet, path: path, key: keyText, header: header}
	}
	return []*sentRequest{
		get("/catalogue/"+keyText, nil),
		get("/catalogue/a?token="+keyText, nil),
		get("/catalogue/a?token="+encoded, nil),
		get("/catalogue/a?token="+strings.TrimPrefix(keyText, key.Prefix), nil),
		get("/catalogue/a", map[string]string{"Cookie": "k=" + keyText}),
		get("/catalogue/a", map[string]string{"X-Api-Key": keyText}),
		get("/catalogue/a", map[string]string{"Connection": "Authorization"}),
		{method: http.MethodPost, path: "/orders/k", key: keyText, order: keyText, body: strings.NewReader("labels")},
		{method: http.MethodPost, path: "/orders/k", key: keyText, order: "k-1", body: strings.NewReader("labels " + keyText)},
		{method: http.MethodPut, path: "/art/a", key: keyText, body: io.MultiReader(strings.NewReader(strings.Repeat("x", 70_000)+keyText[:9]), strings.NewReader(keyText[9:]+"y"))},
	}
}

var _ = Describe("a caller's key", func() {
	It("reaches no endpoint, no log and no object of the store, and stops working once withdrawn", func() {
		endpoints := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 5 }, "e1", "e2")
		f := startFleet(3, "lothian")
		for _, v := range f.vms {
			v.kill()
			v.settings = f.writeFile(v.Name+"-debug.ini", v.readSettings()+"log_level = debug\n")
			v.restart()
		}
		f.awaitReady(f.vms...)
		logs := []func() string{}
		for _, v := range f.vms {
			process := v.process
			logs = append(logs, func() string { return string(process.Out.Contents()) + string(process.Err.Contents()) })
		}
		keyText, keyID := f.applyAndIssueKey(&serviceDocument{head: fmt.Sprintf(serviceHead, 1000, 1000), endpoints: endpoints})
		secret := strings.TrimPrefix(keyText, key.Prefix)

		By("sending it in places where it is not allowed")
		for _, v := range f.vms {
			for _, s := range misplacedKeyRequests(keyText) {
				s.send(newClient(), v)
			}
			Expect((&sentRequest{method: http.MethodPost, path: "/orders/whole", key: keyText, order: "whole-" + v.Name, body: strings.NewReader("labels")}).send(newClient(), v).status).To(Equal(http.StatusOK))
		}

		By("withdrawing it under load on open connections while one VM is frozen")
		l := (&loadGenerator{fleet: f, key: keyText, prefix: "/catalogue/", senders: 9, pause: 5 * time.Millisecond}).start()
		l.runFor(500 * time.Millisecond)
		f.vms[2].signal(syscall.SIGSTOP)
		frozen := time.Now()
		f.runOperator(f.vms[0], 5, &operator.WithdrawResponse{}, "keys", "withdraw", keyID)
		withdrawn := time.Now()
		Eventually(func() bool { return time.Since(frozen) > (freshness.MaxAge + clock.Second).Duration() }, "30s").Should(BeTrue())
		f.vms[2].signal(syscall.SIGCONT)
		Eventually(func() string { return f.vms[2].sendKeyed(keyText) }, "30s").Should(Equal("key_withdrawn"))
		l.runFor(500 * time.Millisecond)

		By("restarting a VM without the store")
		f.setFaults(standinstore.Faults{Unavailable: true})
		l.runFor(time.Second)
		f.vms[1].kill()
		f.vms[1].restart()
		f.awaitReady(f.vms[1])
		Expect(f.vms[1].sendKeyed(keyText)).To(Equal("key_withdrawn"))
		f.setFaults(standinstore.Faults{})
		l.stop()

		for _, a := range arrivalsAt(endpoints...) {
			Expect(a.at).To(BeTemporally("<", withdrawn.Add(2*time.Second)), "requests with the key must not arrive more than 2 s after its withdrawal")
		}
		for _, e := range endpoints {
			Expect(e.contains(key.Prefix)).To(BeFalse(), e.Name)
			Expect(e.contains(secret)).To(BeFalse(), e.Name)
			Expect(e.contains(secret[:16])).To(BeFalse(), e.Name)
		}
		for _, log := range logs {
			Expect(log()).NotTo(ContainSubstring(secret[:16]))
		}
		Expect(string(f.store.Out.Contents()) + string(f.store.Err.Contents())).NotTo(ContainSubstring(secret[:16]))
		objects, err := store.New("http://"+f.storeAddress+"/").List(context.Background(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects.Objects).NotTo(BeEmpty())
		for _, object := range objects.Objects {
			Expect(object.Key).NotTo(ContainSubstring(secret[:16]))
			Expect(string(object.Value)).NotTo(ContainSubstring(secret[:16]), object.Key)
		}
	})
})
