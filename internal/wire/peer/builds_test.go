package peer_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/control/admission"
	"baobabladder.example/baobabladder/internal/control/divider"
	"baobabladder.example/baobabladder/internal/control/follower"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/control/mover"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// recordMessages makes TestMessagesOfEarlierBuildAreUnderstood write the messages instead of
// reading them. It is set once for each landed build; see docs/design/builds.md.
var recordMessages = flag.Bool("record", false, "record the messages of this build")

// messages returns a value of each type that VMs send to each other, with all fields filled.
func messages() (all []any) {
	all = []any{
		&admission.Report{}, &admission.Reply{},
		&contract.Offer{}, &contract.Report{}, &contract.LoanRequest{}, &contract.LoanReply{}, &contract.Settlement{},
		&divider.TermRequest{}, &divider.WakeRequest{}, &divider.WakeReply{}, &divider.SettleReply{},
		&limit.TakeRequest{}, &limit.TakeReply{},
		&follower.FetchRequest{}, &replica.Page{}, &follower.PushRequest{}, &follower.PushReply{},
		&heartbeat.AskRequest{}, &heartbeat.AskReply{}, &heartbeat.LeaveReply{},
		&mover.CollectRequest{}, &mover.CollectReply{}, &mover.Report{}, &mover.ReportReply{},
		&roster.State{},
		&tracker.WatchRequest{}, &tracker.Changes{},
	}
	for _, message := range all {
		fuzz.Fill(message, fuzz.ByPath{})
	}
	return all
}

// recordOf returns the name of the file with a recorded message, to which message points.
func recordOf(message any, extension string) string {
	typeName := strings.TrimPrefix(fmt.Sprintf("%T", message), "*")
	return filepath.Join("testdata", "messages", typeName+extension)
}

// record writes a message as VMs send it, and as JSON to compare with.
func record(g *WithT, message any) {
	var sent bytes.Buffer
	g.Expect(gob.NewEncoder(&sent).Encode(message)).To(Succeed())
	text, err := json.MarshalIndent(message, "", " ")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(recordOf(message, ".gob"), sent.Bytes(), 0o644)).To(Succeed())
	g.Expect(os.WriteFile(recordOf(message, ".json"), append(text, '\n'), 0o644)).To(Succeed())
}

// asJSON returns a value as encoding/json decodes it into an empty interface.
func asJSON(g *WithT, text []byte) (value any) {
	g.Expect(json.Unmarshal(text, &value)).To(Succeed())
	return value
}

// missing returns the paths of the parts of want that got lacks or has with another value.
func missing(want, got any, path string) (paths []string) {
	switch want := want.(type) {
	case map[string]any:
		fields, _ := got.(map[string]any)
		for name, part := range want {
			paths = append(paths, missing(part, fields[name], path+"."+name)...)
		}
		return paths
	case []any:
		elements, _ := got.([]any)
		if len(elements) != len(want) {
			return []string{path}
		}
		for i := range want {
			paths = append(paths, missing(want[i], elements[i], path)...)
		}
		return paths
	}
	if !reflect.DeepEqual(want, got) {
		return []string{path}
	}
	return nil
}

// While VMs are replaced one after the other, those of the earlier build send their messages
// to those of this one.
func TestMessagesOfEarlierBuildAreUnderstood(t *testing.T) {
	g := NewWithT(t)
	for _, message := range messages() {
		if *recordMessages {
			record(g, message)
			continue
		}
		name := fmt.Sprintf("%T", message)
		sent, err := os.ReadFile(recordOf(message, ".gob"))
		g.Expect(err).NotTo(HaveOccurred(), name)
		want, err := os.ReadFile(recordOf(message, ".json"))
		g.Expect(err).NotTo(HaveOccurred(), name)
		received := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		g.Expect(gob.NewDecoder(bytes.NewReader(sent)).Decode(received)).To(Succeed(), name)
		got, err := json.Marshal(received)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(missing(asJSON(g, want), asJSON(g, got), name)).To(BeEmpty())
	}
}
