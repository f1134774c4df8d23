package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/loopback"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
)

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "End-to-end tests with separate processes")
}

var productPath, standinPath string

var _ = BeforeSuite(func() {
	var err error
	productPath, err = gexec.Build("baobabladder.example/baobabladder/cmd/baobabladder")
	Expect(err).NotTo(HaveOccurred())
	standinPath, err = gexec.Build("baobabladder.example/baobabladder/cmd/standin")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// host hands out free addresses for the processes.
var host = loopback.New()

func freeAddress() string {
	address, err := host.UnusedAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// start runs a program until the end of the test, in its own process group. Otherwise,
// if the shell that started the tests exits, the system sends SIGHUP to the orphaned
// process group as soon as a test has frozen one of its processes, which would end the
// frozen VM.
func start(program string, args ...string) *gexec.Session {
	command := exec.Command(program, args...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	session, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait("5s") })
	return session
}

var _ = Describe("a process of a test", func() {
	It("has its own process group, so that a SIGHUP to the tests' group doesn't reach it while it is frozen", func() {
		process := start(standinPath, "store", "--address", freeAddress()).Command.Process
		group, err := syscall.Getpgid(process.Pid)
		Expect(err).NotTo(HaveOccurred())
		Expect(group).To(Equal(process.Pid))
	})
})

const serviceText = `
[service]
name = catalogue

[route /catalogue/]
work = catalogue

[workspace glen-herbs]
rate = 10
burst = 20

[endpoint catalogue-01]
address = %s
region = lothian
data_centre = lothian-1
version = v1
slots = 3
`

var _ = Describe("a request with a key", func() {
	It("goes through an entry VM to an endpoint and back, as a document in the store configures", func() {
		storeAddress, endpointAddress, callerAddress := freeAddress(), freeAddress(), freeAddress()
		start(standinPath, "store", "--address", storeAddress)
		start(standinPath, "endpoint", "--address", endpointAddress, "--name", "catalogue-01")

		client := store.New("http://" + storeAddress + "/")
		put := func(objectKey string, value any) {
			text, err := json.Marshal(value)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() error {
				_, err := client.Put(context.Background(), objectKey, text, 0)
				return err
			}, "10s").Should(Succeed())
		}
		put("documents/catalogue", document.Record{Name: "catalogue", Revision: 1, Text: fmt.Sprintf(serviceText, endpointAddress)})
		issued, text, err := key.Issue("glen-herbs")
		Expect(err).NotTo(HaveOccurred())
		put("keys/"+issued.ID, issued)

		settings := filepath.Join(GinkgoT().TempDir(), "vm.ini")
		Expect(os.WriteFile(settings, []byte(fmt.Sprintf(
			"[vm]\nname = entry-1\nregion = lothian\ndata_centre = lothian-1\nstore = http://%s/\ncaller_address = %s\npeer_address = %s\noperator_address = %s\n",
			storeAddress, callerAddress, freeAddress(), freeAddress())), 0o600)).To(Succeed())
		start(productPath, "entry", "--settings", settings)

		ask := func(keyText string) (status int, body string) {
			request, err := http.NewRequest(http.MethodGet, "http://"+callerAddress+"/catalogue/thyme", nil)
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer "+keyText)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return 0, ""
			}
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			return response.StatusCode, string(content)
		}
		Eventually(func() int { status, _ := ask(text); return status }, "10s").Should(Equal(http.StatusOK))
		_, body := ask(text)
		Expect(body).To(Equal("catalogue-01 v1 /catalogue/thyme 0\n"))
		status, _ := ask("bbk_wrong")
		Expect(status).To(Equal(http.StatusUnauthorized))
	})
})
