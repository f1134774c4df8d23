package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 47})) }

// fakeStore is an in-memory store that can lose responses and writes, and that can call
// a function before a write.
type fakeStore struct {
	objects  map[string]store.Object
	revision int64
	// lostResponses is the number of next writes that take effect but whose response is
	// lost, droppedWrites the number of next writes that do not take effect and whose
	// outcome is unknown.
	lostResponses, droppedWrites int
	down                         bool
	// beforeWrite is called once, before the next write of a document takes effect, or
	// of another object if beforeHistoryWrite is set.
	beforeWrite        func()
	beforeHistoryWrite bool
	texts              []string
	revisions          []int64
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Object, error) {
	object, found := f.objects[key]
	switch {
	case f.down:
		return store.Object{}, store.ErrUnavailable.New("down")
	case !found:
		return store.Object{}, store.ErrNotFound.New("absent")
	}
	return object, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) (listing store.Listing, err error) {
	for objectKey, object := range f.objects {
		if strings.HasPrefix(objectKey, prefix) {
			listing.Objects = append(listing.Objects, object)
		}
	}
	return listing, nil
}

func (f *fakeStore) Put(_ context.Context, objectKey string, value []byte, ifVersion int64) (int64, error) {
	if f.down {
		return 0, store.ErrUnavailable.New("down")
	}
	isDocument := strings.HasPrefix(objectKey, document.ObjectPrefix)
	if hook := f.beforeWrite; hook != nil && isDocument != f.beforeHistoryWrite {
		f.beforeWrite = nil
		hook()
	}
	if f.droppedWrites > 0 {
		f.droppedWrites--
		return 0, store.ErrOutcomeUnknown.New("write was dropped")
	}
	if f.objects[objectKey].Version != ifVersion {
		return 0, store.ErrConflict.New("conflict")
	}
	f.revision++
	f.objects[objectKey] = store.Object{Key: objectKey, Version: f.revision, Value: value}
	if isDocument {
		var record document.Record
		_ = json.Unmarshal(value, &record)
		f.texts = append(f.texts, record.Text)
		f.revisions = append(f.revisions, record.Revision)
	}
	if f.lostResponses > 0 {
		f.lostResponses--
		return 0, store.ErrOutcomeUnknown.New("response was lost")
	}
	return f.revision, nil
}

type fakePropagator struct{ pushed atomic.Int32 }

func (f *fakePropagator) PushAll(context.Context, []store.Object) (confirmed, unconfirmed []string) {
	f.pushed.Add(1)
	return []string{"entry-1"}, []string{"entry-2"}
}
func (f *fakePropagator) Ready() (ready bool, reason string) { return true, "" }

type fakeViewer struct{}

func (fakeViewer) View() *membership.View { return &membership.View{Self: "entry-1"} }

func newServer(objects *fakeStore) (*operator.Server, *fakePropagator) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	propagator := &fakePropagator{}
	return &operator.Server{
		Name: "entry-1", Store: objects, Replica: &replica.Replica{}, Propagator: propagator, Viewer: fakeViewer{},
		Freshness: &freshness.Freshness{}, Decisions: &account.DecisionLog{VM: "entry-1"}, Log: log, WriteTimeout: 300 * clock.Millis(1),
	}, propagator
}

func call(server *operator.Server, method, path string, body, into any) int {
	text, _ := json.Marshal(body)
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(text)))
	_ = json.Unmarshal(recorder.Body.Bytes(), into)
	return recorder.Code
}

func documentText(n int) string {
	return fmt.Sprintf("# edit %d\n[service]\nname = c\n[route /c/]\nwork = catalogue\n[workspace w]\nrate = 1\nburst = 1\n", n)
}

func TestConcurrentEditsAcceptOnePerRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := &fakeStore{objects: map[string]store.Object{}}
		server, _ := newServer(objects)
		edits := 0
		// apply sends an edit and checks the response against the writes to the store.
		var apply func(t *rapid.T, basedOn int64, race bool)
		apply = func(t *rapid.T, basedOn int64, race bool) {
			edits++
			text := documentText(edits)
			stale := !race && basedOn != int64(len(objects.texts))
			if race {
				objects.beforeHistoryWrite = rapid.Bool().Draw(t, "at history")
				objects.beforeWrite = func() { apply(t, basedOn, false) }
			}
			var response struct {
				operator.ApplyResponse
				operator.Failure
			}
			status := call(server, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: text, BasedOn: basedOn, Author: "a"}, &response)
			writes := 0
			for _, written := range objects.texts {
				if written == text {
					writes++
				}
			}
			objects.beforeWrite = nil
			switch {
			case stale && status != http.StatusConflict:
				t.Fatalf("edit of an older revision: got status %d, want a conflict", status)
			case writes > 1:
				t.Fatalf("edit %d was written %d times", edits, writes)
			case status == http.StatusOK && writes != 1:
				t.Fatalf("accepted edit was written %d times, want 1", writes)
			case status == http.StatusConflict && writes != 0:
				t.Fatal("edit refused as a conflict was written")
			case status == http.StatusConflict && len(response.Difference) == 0:
				t.Fatal("conflict response lacks the difference")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				basedOn := int64(len(objects.texts)) - rapid.Int64Range(0, 1).Draw(t, "behind")
				apply(t, max(0, basedOn), rapid.Bool().Draw(t, "race"))
			},
			"lose": func(t *rapid.T) { objects.lostResponses = rapid.IntRange(0, 2).Draw(t, "answers") },
			"drop": func(t *rapid.T) { objects.droppedWrites = rapid.IntRange(0, 2).Draw(t, "writes") },
			"": func(t *rapid.T) {
				for i, revision := range objects.revisions {
					if revision != int64(i+1) {
						t.Fatalf("write %d has revision %d", i+1, revision)
					}
				}
				if got := server.Replica.Snapshot().Service("c"); got != nil && got.Revision > int64(len(objects.texts)) {
					t.Fatalf("revision %d is in force, but only %d revisions were written", got.Revision, len(objects.texts))
				}
			},
		})
	})
}

func TestWriteIDIsRecognisedAfterLaterEdit(t *testing.T) {
	g := NewWithT(t)
	first := document.Record{Name: "c", Revision: 1, WriteID: "one"}
	second := first.Next("text", "b", 0)
	second.WriteID = "two"
	g.Expect(second.HasWrite("one")).To(BeTrue())
	g.Expect(second.HasWrite("three")).To(BeFalse())
	g.Expect(second.HasWrite("")).To(BeFalse())
}

func TestKeyTextIsNotStoredAndWithdrawalIsPermanent(t *testing.T) {
	g := NewWithT(t)
	objects := &fakeStore{objects: map[string]store.Object{}}
	server, propagator := newServer(objects)
	g.Expect(call(server, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: documentText(1), Author: "a"}, nil)).To(Equal(http.StatusOK))

	var failure operator.Failure
	g.Expect(call(server, http.MethodPost, "/v1/keys", operator.IssueRequest{Workspace: "unknown", Author: "a"}, &failure)).To(Equal(http.StatusBadRequest))
	var issued operator.IssueResponse
	objects.lostResponses = 1
	g.Expect(call(server, http.MethodPost, "/v1/keys", operator.IssueRequest{Workspace: "w", Author: "a"}, &issued)).To(Equal(http.StatusOK))
	g.Expect(issued.Text).To(HavePrefix(key.Prefix))
	g.Expect(issued.Unconfirmed).To(Equal([]string{"entry-2"}))
	for _, object := range objects.objects {
		g.Expect(string(object.Value)).NotTo(ContainSubstring(issued.Text))
	}

	objects.down = true
	pushed := propagator.pushed.Load()
	g.Expect(call(server, http.MethodPost, "/v1/keys/"+issued.ID+"/withdraw?author=a", nil, &failure)).To(Equal(http.StatusGatewayTimeout))
	g.Expect(failure.Confirmed).To(Equal([]string{"entry-1"}))
	g.Expect(propagator.pushed.Load()).To(BeNumerically(">", pushed))
	g.Expect(server.Replica.Snapshot().Keys[key.DigestOf(issued.Text)].Withdrawn).To(BeTrue())

	objects.down, objects.lostResponses = false, 1
	var withdrawn operator.WithdrawResponse
	g.Expect(call(server, http.MethodPost, "/v1/keys/"+issued.ID+"/withdraw?author=a", nil, &withdrawn)).To(Equal(http.StatusOK))
	var stored key.Key
	g.Expect(json.Unmarshal(objects.objects[key.ObjectPrefix+issued.ID].Value, &stored)).To(Succeed())
	g.Expect(stored.Withdrawn).To(BeTrue())
	g.Expect(call(server, http.MethodPost, "/v1/keys/none/withdraw?author=a", nil, &failure)).To(Equal(http.StatusNotFound))
}

func TestApplyRefusesBadInput(t *testing.T) {
	g := NewWithT(t)
	server, _ := newServer(&fakeStore{objects: map[string]store.Object{}})
	g.Expect(call(server, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: documentText(1), Author: "a"}, nil)).To(Equal(http.StatusOK))
	for cause, test := range map[string]struct {
		name  string
		input any
		want  string
	}{
		"name of another document":  {"d", operator.ApplyRequest{Text: documentText(1), Author: "a"}, "not of d"},
		"missing author":            {"c", operator.ApplyRequest{Text: documentText(1)}, "author"},
		"value out of range":        {"c", operator.ApplyRequest{Text: strings.Replace(documentText(1), "burst = 1", "burst = 0", 1), Author: "a"}, "section [workspace w], key burst"},
		"route of another document": {"d", operator.ApplyRequest{Text: strings.Replace(documentText(1), "name = c", "name = d", 1), Author: "a"}, "route /c/"},
		"unknown field":             {"c", map[string]string{"texts": ""}, "unknown field"},
		"body over the size limit":  {"c", operator.ApplyRequest{Text: strings.Repeat("#\n", 2*document.MaxBytes), Author: "a"}, "can't be read"},
	} {
		var failure operator.Failure
		g.Expect(call(server, http.MethodPut, "/v1/documents/"+test.name, test.input, &failure)).To(Equal(http.StatusBadRequest), cause)
		g.Expect(failure.Detail).To(ContainSubstring(test.want), cause)
	}
}

func TestHistoryAndCompare(t *testing.T) {
	g := NewWithT(t)
	server, _ := newServer(&fakeStore{objects: map[string]store.Object{}})
	for n := range 3 {
		g.Expect(call(server, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: documentText(n), BasedOn: int64(n), Author: "a"}, nil)).To(Equal(http.StatusOK))
	}
	var history operator.History
	g.Expect(call(server, http.MethodGet, "/v1/documents/c/history", nil, &history)).To(Equal(http.StatusOK))
	g.Expect(history.Revisions).To(HaveLen(3))
	g.Expect(history.Revisions[0].Revision).To(BeEquivalentTo(3))
	var old operator.Revision
	g.Expect(call(server, http.MethodGet, "/v1/documents/c?revision=1", nil, &old)).To(Equal(http.StatusOK))
	g.Expect(old.Text).To(Equal(documentText(0)))
	var comparison operator.Comparison
	g.Expect(call(server, http.MethodGet, "/v1/documents/c/compare?from=1", nil, &comparison)).To(Equal(http.StatusOK))
	g.Expect(comparison.Lines).To(Equal([]string{"-# edit 0", "+# edit 2", " [service]"}))
}

// Guards against a VM that sends an operator's command bytes without end, of which it keeps
// all.
func TestReplyWithoutEndEndsTheCommand(t *testing.T) {
	g := NewWithT(t)
	const maxSent = 64 << 20
	sent := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block, total := make([]byte, 64<<10), 0
		for total < maxSent {
			n, err := w.Write(block)
			total += n
			if err != nil {
				break
			}
		}
		sent <- total
	}))
	defer server.Close()
	_, err := operator.NewClient([]string{server.URL}).Show(context.Background(), "orders", 0)
	g.Expect(err).To(MatchError(ContainSubstring("more than")))
	g.Eventually(sent, "20s").Should(Receive(BeNumerically("<", maxSent)))
}
